package raft

import (
	"cmp"
	"fmt"
	"hash/fnv"
	"math/rand/v2"
	"time"

	"azurestair.example/azurestair"
)

// Built-in values of Options.
const (
	DefaultElectionTimeout                      = time.Second
	DefaultHeartbeatInterval                    = 250 * time.Millisecond
	DefaultInflightMessages                     = 128
	DefaultInflightBytes       azurestair.Bytes = 8 << 20
	DefaultMessageBytes        azurestair.Bytes = 1 << 20
	DefaultMaxUncommittedBytes azurestair.Bytes = 32 << 20
	DefaultMaxSnapshotBytes    azurestair.Bytes = 256 << 20
	DefaultKeepEntries                          = 4096
	DefaultKeepBytes           azurestair.Bytes = 4 << 20
)

// Options configures a Node. Fields other than ID may be zero.
type Options struct {
	ID azurestair.InstanceID
	// Membership is the initial membership. It is used only on a first start
	// with an empty log and must be the same on all initial voters.
	Membership azurestair.Membership
	// Joining is true for an instance that was created after the cluster or
	// lost its data. The owner keeps it across restarts until Status no longer
	// reports Joining. An empty log without Membership implies it.
	Joining bool
	// ElectionTimeout is how long a voter refuses votes after it heard a
	// leader. A follower campaigns after 1 to 1.5 times this span, so that a
	// lost leader is replaced within two seconds by default.
	ElectionTimeout   time.Duration
	HeartbeatInterval time.Duration
	// ClockDrift bounds how far two clocks diverge within ElectionTimeout; the
	// lease is shorter than ElectionTimeout by it. The default is a tenth.
	ClockDrift time.Duration
	Rand       azurestair.Rand
	// InflightMessages and InflightBytes bound the unanswered appends to one follower.
	InflightMessages int
	InflightBytes    azurestair.Bytes
	// MessageBytes bounds the entries of one append, except for a single larger entry.
	MessageBytes azurestair.Bytes
	// MaxUncommittedBytes bounds the proposals of a leader that are not yet committed.
	MaxUncommittedBytes azurestair.Bytes
	// MaxSnapshotBytes bounds a snapshot that is received in pieces.
	MaxSnapshotBytes azurestair.Bytes
	// KeepEntries and KeepBytes bound the tail of the log that Compact keeps
	// for slow followers.
	KeepEntries int
	KeepBytes   azurestair.Bytes
}

func (o Options) withDefaults(now time.Time) Options {
	o.ElectionTimeout = cmp.Or(o.ElectionTimeout, DefaultElectionTimeout)
	o.HeartbeatInterval = cmp.Or(o.HeartbeatInterval, min(DefaultHeartbeatInterval, o.ElectionTimeout/4))
	o.ClockDrift = cmp.Or(o.ClockDrift, o.ElectionTimeout/10)
	o.InflightMessages = cmp.Or(o.InflightMessages, DefaultInflightMessages)
	o.InflightBytes = cmp.Or(o.InflightBytes, DefaultInflightBytes)
	o.MessageBytes = cmp.Or(o.MessageBytes, DefaultMessageBytes)
	o.MaxUncommittedBytes = cmp.Or(o.MaxUncommittedBytes, DefaultMaxUncommittedBytes)
	o.MaxSnapshotBytes = cmp.Or(o.MaxSnapshotBytes, DefaultMaxSnapshotBytes)
	o.KeepEntries = cmp.Or(o.KeepEntries, DefaultKeepEntries)
	o.KeepBytes = cmp.Or(o.KeepBytes, DefaultKeepBytes)
	if o.Rand == nil {
		h := fnv.New64a()
		h.Write([]byte(o.ID))
		o.Rand = rand.NewPCG(h.Sum64(), uint64(now.UnixNano()))
	}
	return o
}

func (o Options) validate() error {
	if err := azurestair.CheckName("raft id", string(o.ID)); err != nil {
		return err
	}
	if o.HeartbeatInterval <= 0 || o.HeartbeatInterval > o.ElectionTimeout/2 {
		return fmt.Errorf("%w: heartbeat interval %s; allowed up to half the election timeout %s",
			azurestair.ErrInvalid, o.HeartbeatInterval, o.ElectionTimeout)
	}
	if o.ClockDrift < 0 || o.ClockDrift >= o.ElectionTimeout/2 {
		return fmt.Errorf("%w: clock drift %s; allowed less than half the election timeout %s",
			azurestair.ErrInvalid, o.ClockDrift, o.ElectionTimeout)
	}
	if o.InflightMessages < 1 || o.InflightBytes < 1 || o.MessageBytes < 1 || o.MaxUncommittedBytes < 1 ||
		o.MaxSnapshotBytes < 1 || o.KeepEntries < 0 || o.KeepBytes < 0 {
		return fmt.Errorf("%w: raft limits must be positive", azurestair.ErrInvalid)
	}
	if len(o.Membership.Voters) == 0 {
		return nil
	}
	return o.Membership.Validate()
}
