package raft

import (
	"cmp"
	"fmt"
	"hash/fnv"
	"math/rand/v2"
	"time"

	"azurestair.example/azurestair"
)

// Default values of Options.
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
	// Membership is the initial membership. It is used only on the first start,
	// with an empty log, and must be the same on all initial voters.
	Membership azurestair.Membership
	// Joining is true for an instance that was added after the cluster was
	// created or that lost its data. The caller sets it across restarts until
	// Status no longer reports Joining. An empty log without Membership implies
	// it.
	Joining bool
	// ElectionTimeout is how long a voter refuses votes after its last contact
	// with a leader. A follower campaigns after 1 to 1.5 times this duration,
	// so that a failed leader is replaced within two seconds by default.
	ElectionTimeout   time.Duration
	HeartbeatInterval time.Duration
	// MaxClockDrift is the most that two clocks may diverge within
	// ElectionTimeout. The lease is shorter than ElectionTimeout by this
	// amount. The default is a tenth of ElectionTimeout.
	MaxClockDrift time.Duration
	Rand          azurestair.Rand
	// InflightMessages and InflightBytes limit the unacknowledged appends to
	// one follower.
	InflightMessages int
	InflightBytes    azurestair.Bytes
	// MessageBytes limits the entries of one append. A single larger entry is
	// sent in an append of its own.
	MessageBytes azurestair.Bytes
	// MaxUncommittedBytes limits the uncommitted entries of a leader.
	MaxUncommittedBytes azurestair.Bytes
	// MaxSnapshotBytes limits the size of a snapshot received from a leader.
	MaxSnapshotBytes azurestair.Bytes
	// KeepEntries and KeepBytes limit the tail of the log that Compact keeps in
	// memory for slow followers.
	KeepEntries int
	KeepBytes   azurestair.Bytes
}

func (o Options) withDefaults(now time.Time) Options {
	o.ElectionTimeout = cmp.Or(o.ElectionTimeout, DefaultElectionTimeout)
	o.HeartbeatInterval = cmp.Or(o.HeartbeatInterval, min(DefaultHeartbeatInterval, o.ElectionTimeout/4))
	o.MaxClockDrift = cmp.Or(o.MaxClockDrift, o.ElectionTimeout/10)
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
	if o.MaxClockDrift < 0 || o.MaxClockDrift >= o.ElectionTimeout/2 {
		return fmt.Errorf("%w: clock drift %s; allowed less than half the election timeout %s",
			azurestair.ErrInvalid, o.MaxClockDrift, o.ElectionTimeout)
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
