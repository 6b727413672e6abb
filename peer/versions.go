package peer

import (
	"context"
	"log/slog"
	"net"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"

	"google.golang.org/grpc"
	"google.golang.org/grpc/metadata"
	grpcpeer "google.golang.org/grpc/peer"

	"azurestair.example/azurestair"
)

// Metadata keys of every call, stream and response. Versions before
// azurestair.ProtocolAnnounced neither send nor read them.
const (
	versionKey  = "azurestair-version"
	oldestKey   = "azurestair-oldest"
	instanceKey = "azurestair-instance"
)

// mismatchRetention is how long a rejected instance is listed after its last
// call.
const mismatchRetention = time.Minute

// maxTrackedInstances bounds the instances whose versions are kept, since
// callers can claim any name.
const maxTrackedInstances = 4096

// Versions sends the protocol version of this process with every call, stream
// and response, and checks the versions of other instances. A rejected instance
// is treated as unreachable, which the replicated log tolerates like any loss
// of messages. It is safe for concurrent use.
type Versions struct {
	own      azurestair.ProtocolRange
	clock    azurestair.Clock
	log      *slog.Logger
	metadata metadata.MD

	mu sync.Mutex
	// announced holds the versions of instances that have sent raft messages.
	announced  map[azurestair.InstanceID]azurestair.ProtocolVersion
	mismatches map[azurestair.InstanceID]mismatch
}

// mismatch is the last version mismatch with an instance.
type mismatch struct {
	err azurestair.VersionError
	at  time.Time
}

// VersionOptions configures Versions. The zero value selects no instance name,
// the system clock, no logging and azurestair.Protocol.
type VersionOptions struct {
	Self  azurestair.InstanceID
	Clock azurestair.Clock
	Log   *slog.Logger
	// Own overrides azurestair.Protocol in tests.
	Own azurestair.ProtocolRange
}

// systemClock implements azurestair.Clock with time.Now.
type systemClock struct{}

func (systemClock) Now() time.Time { return time.Now() }

// NewVersions returns a Versions that knows no other instance yet.
func NewVersions(o VersionOptions) *Versions {
	if o.Clock == nil {
		o.Clock = systemClock{}
	}
	if o.Log == nil {
		o.Log = slog.New(slog.DiscardHandler)
	}
	if o.Own == (azurestair.ProtocolRange{}) {
		o.Own = azurestair.Protocol()
	}
	v := &Versions{
		own: o.Own, clock: o.Clock, log: o.Log,
		announced:  map[azurestair.InstanceID]azurestair.ProtocolVersion{},
		mismatches: map[azurestair.InstanceID]mismatch{},
	}
	v.metadata = metadata.Pairs(versionKey, formatVersion(o.Own.Current), oldestKey, formatVersion(o.Own.Oldest))
	if o.Self != "" {
		v.metadata.Set(instanceKey, string(o.Self))
	}
	return v
}

func formatVersion(v azurestair.ProtocolVersion) string {
	return strconv.FormatUint(uint64(v), 10)
}

// outgoing returns a context that sends the version with a call or stream.
func (v *Versions) outgoing(ctx context.Context) context.Context {
	own, _ := metadata.FromOutgoingContext(ctx)
	return metadata.NewOutgoingContext(ctx, metadata.Join(v.metadata, own))
}

// checkCall checks the caller's version and adds this process's version to the
// response header. It returns the caller's versions.
func (v *Versions) checkCall(ctx context.Context) (azurestair.ProtocolRange, error) {
	// This fails only if the call has already ended.
	_ = grpc.SetHeader(ctx, v.metadata)
	md, _ := metadata.FromIncomingContext(ctx)
	theirs := parseRange(md)
	return theirs, v.check(callerID(ctx, md), theirs)
}

// checkResponse checks the version in the response to a call that returned
// callErr. A failed call without a version is not checked, since its error may
// not come from the other instance.
func (v *Versions) checkResponse(from azurestair.InstanceID, md metadata.MD, callErr error) error {
	if callErr != nil && len(md.Get(versionKey)) == 0 {
		return nil
	}
	return v.check(from, parseRange(md))
}

// parseRange parses the versions in metadata. A malformed version is read as
// zero, which is never accepted.
func parseRange(md metadata.MD) azurestair.ProtocolRange {
	current, oldest := md.Get(versionKey), md.Get(oldestKey)
	if len(current) == 0 && len(oldest) == 0 {
		return azurestair.ProtocolRange{Current: azurestair.ProtocolUnannounced, Oldest: azurestair.ProtocolUnannounced}
	}
	return azurestair.ProtocolRange{Current: parseVersion(current), Oldest: parseVersion(oldest)}
}

func parseVersion(values []string) azurestair.ProtocolVersion {
	if len(values) != 1 {
		return 0
	}
	n, err := strconv.ParseUint(values[0], 10, 32)
	if err != nil {
		return 0
	}
	return azurestair.ProtocolVersion(n)
}

// callerID returns the caller's instance ID, or its host if it sent no valid
// ID.
func callerID(ctx context.Context, md metadata.MD) azurestair.InstanceID {
	if ids := md.Get(instanceKey); len(ids) == 1 && azurestair.CheckName("instance", ids[0]) == nil {
		return azurestair.InstanceID(ids[0])
	}
	p, ok := grpcpeer.FromContext(ctx)
	if !ok {
		return ""
	}
	host, _, _ := net.SplitHostPort(p.Addr.String())
	return azurestair.InstanceID(host)
}

// check compares the versions of another instance with those of this process. A
// mismatch is logged only when it is new or has changed, not on every call.
func (v *Versions) check(id azurestair.InstanceID, theirs azurestair.ProtocolRange) error {
	v.mu.Lock()
	defer v.mu.Unlock()
	if v.own.Accepts(theirs) {
		delete(v.mismatches, id)
		return nil
	}
	err := azurestair.VersionError{Peer: id, Own: v.own, Theirs: theirs}
	now := v.clock.Now()
	v.prune(now)
	old, known := v.mismatches[id]
	if !known && len(v.mismatches) >= maxTrackedInstances {
		return err
	}
	v.mismatches[id] = mismatch{err: err, at: now}
	if !known || old.err != err {
		v.log.Warn("version mismatch", "peer", id, "version", theirs.Current, "oldest", theirs.Oldest,
			"ownVersion", v.own.Current, "ownOldest", v.own.Oldest)
	}
	return err
}

func (v *Versions) prune(now time.Time) {
	for id, m := range v.mismatches {
		if now.Sub(m.at) > mismatchRetention {
			delete(v.mismatches, id)
		}
	}
}

// record stores the version of an instance that sends raft messages.
func (v *Versions) record(id azurestair.InstanceID, theirs azurestair.ProtocolRange) {
	v.mu.Lock()
	defer v.mu.Unlock()
	if _, known := v.announced[id]; known || len(v.announced) < maxTrackedInstances {
		v.announced[id] = theirs.Current
	}
}

// Of returns the version that an instance announced with its last raft message
// stream, or ProtocolUnannounced if it has opened none.
func (v *Versions) Of(id azurestair.InstanceID) azurestair.ProtocolVersion {
	v.mu.Lock()
	defer v.mu.Unlock()
	if n, ok := v.announced[id]; ok {
		return n
	}
	return azurestair.ProtocolUnannounced
}

// Own returns the protocol versions of this process.
func (v *Versions) Own() azurestair.ProtocolRange { return v.own }

// Mismatches returns the recent mismatches, sorted by instance ID.
func (v *Versions) Mismatches() []azurestair.VersionError {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.prune(v.clock.Now())
	out := make([]azurestair.VersionError, 0, len(v.mismatches))
	for _, m := range v.mismatches {
		out = append(out, m.err)
	}
	slices.SortFunc(out, func(a, b azurestair.VersionError) int {
		return strings.Compare(string(a.Peer), string(b.Peer))
	})
	return out
}
