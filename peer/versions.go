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

// Metadata of each call, stream and answer. A program before
// azurestair.ProtocolAnnounced sends none of it and ignores it.
const (
	versionKey  = "azurestair-version"
	oldestKey   = "azurestair-oldest"
	instanceKey = "azurestair-instance"
)

// mismatchKept is for how long a refused instance is listed after its last call.
const mismatchKept = time.Minute

// maxVersions bounds the instances of which a program keeps the version, since
// the name in a call is the caller's own word.
const maxVersions = 4096

// Versions sends this program's protocol version with each call, stream and
// answer, and checks those of other instances. A refused instance counts as
// one that cannot be reached, which the replicated log bears like any loss of
// messages. It is safe for concurrent use.
type Versions struct {
	own      azurestair.ProtocolRange
	clock    azurestair.Clock
	log      *slog.Logger
	metadata metadata.MD

	mu sync.Mutex
	// announced holds the versions of the instances that have sent raft messages.
	announced map[azurestair.InstanceID]azurestair.ProtocolVersion
	refused   map[azurestair.InstanceID]refusal
}

// refusal is the last mismatch with an instance.
type refusal struct {
	err azurestair.VersionError
	at  time.Time
}

// VersionOptions describe this program; the zero value stands for an instance
// without a name and without a log.
type VersionOptions struct {
	Self  azurestair.InstanceID
	Clock azurestair.Clock
	Log   *slog.Logger
	// Own replaces azurestair.Protocol in tests of later versions.
	Own azurestair.ProtocolRange
}

// systemClock tells the time of the machine.
type systemClock struct{}

func (systemClock) Now() time.Time { return time.Now() }

// NewVersions returns the versions of a program that has met no other.
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
		announced: map[azurestair.InstanceID]azurestair.ProtocolVersion{},
		refused:   map[azurestair.InstanceID]refusal{},
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

// outgoing returns a context whose call or stream carries the version.
func (v *Versions) outgoing(ctx context.Context) context.Context {
	own, _ := metadata.FromOutgoingContext(ctx)
	return metadata.NewOutgoingContext(ctx, metadata.Join(v.metadata, own))
}

// checkCall checks the version of a call or stream and has the answer carry
// this program's. It returns the caller's versions.
func (v *Versions) checkCall(ctx context.Context) (azurestair.ProtocolRange, error) {
	// It fails only on a call that has ended.
	_ = grpc.SetHeader(ctx, v.metadata)
	md, _ := metadata.FromIncomingContext(ctx)
	theirs := rangeOf(md)
	return theirs, v.check(callerOf(ctx, md), theirs)
}

// checkAnswer checks the version of an answer. A failed call without a version
// was not necessarily answered by the other instance.
func (v *Versions) checkAnswer(from azurestair.InstanceID, md metadata.MD, callErr error) error {
	if callErr != nil && len(md.Get(versionKey)) == 0 {
		return nil
	}
	return v.check(from, rangeOf(md))
}

// rangeOf reads the versions in metadata. A malformed one counts as version
// zero, which no program accepts.
func rangeOf(md metadata.MD) azurestair.ProtocolRange {
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

// callerOf names the caller by its id or else by its host.
func callerOf(ctx context.Context, md metadata.MD) azurestair.InstanceID {
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

// check compares the versions of another instance with this program's. A
// mismatch is logged when it is new, not with each call.
func (v *Versions) check(id azurestair.InstanceID, theirs azurestair.ProtocolRange) error {
	v.mu.Lock()
	defer v.mu.Unlock()
	if v.own.Accepts(theirs) {
		delete(v.refused, id)
		return nil
	}
	err := azurestair.VersionError{Peer: id, Own: v.own, Theirs: theirs}
	now := v.clock.Now()
	v.prune(now)
	old, known := v.refused[id]
	if !known && len(v.refused) >= maxVersions {
		return err
	}
	v.refused[id] = refusal{err: err, at: now}
	if !known || old.err != err {
		v.log.Warn("version mismatch", "peer", id, "version", theirs.Current, "oldest", theirs.Oldest,
			"ownVersion", v.own.Current, "ownOldest", v.own.Oldest)
	}
	return err
}

func (v *Versions) prune(now time.Time) {
	for id, r := range v.refused {
		if now.Sub(r.at) > mismatchKept {
			delete(v.refused, id)
		}
	}
}

// announce records the version of an instance that sends raft messages.
func (v *Versions) announce(id azurestair.InstanceID, theirs azurestair.ProtocolRange) {
	v.mu.Lock()
	defer v.mu.Unlock()
	if _, known := v.announced[id]; known || len(v.announced) < maxVersions {
		v.announced[id] = theirs.Current
	}
}

// Of returns the version that an instance announced with its last stream of
// raft messages, and the lowest one for an instance that has sent none.
func (v *Versions) Of(id azurestair.InstanceID) azurestair.ProtocolVersion {
	v.mu.Lock()
	defer v.mu.Unlock()
	if n, ok := v.announced[id]; ok {
		return n
	}
	return azurestair.ProtocolUnannounced
}

// Own returns this program's versions.
func (v *Versions) Own() azurestair.ProtocolRange { return v.own }

// Mismatches lists the instances that were refused lately, in the order of their names.
func (v *Versions) Mismatches() []azurestair.VersionError {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.prune(v.clock.Now())
	out := make([]azurestair.VersionError, 0, len(v.refused))
	for _, r := range v.refused {
		out = append(out, r.err)
	}
	slices.SortFunc(out, func(a, b azurestair.VersionError) int {
		return strings.Compare(string(a.Peer), string(b.Peer))
	})
	return out
}
