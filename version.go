package azurestair

import "fmt"

// ProtocolVersion numbers what the system's own processes send each other and
// what they write into the replicated log. It grows when a program before it
// could misread a message or a record, not with every added field: decoders of
// messages ignore fields that they do not know.
type ProtocolVersion uint32

const (
	// ProtocolUnannounced is the version of a program that announces none.
	ProtocolUnannounced ProtocolVersion = 1
	// ProtocolAnnounced is the first version whose programs announce it and
	// refuse records of the log that they do not know.
	ProtocolAnnounced ProtocolVersion = 2
	// ProtocolRouted is the first version with routes, configurations of which
	// the highest version wins, departures and reads in the order of the log.
	ProtocolRouted ProtocolVersion = 3
	// ProtocolPacked is the first version whose programs read packed updates in
	// the replies to their reports.
	ProtocolPacked ProtocolVersion = 4
	// ProtocolCurrent is the version of this program.
	ProtocolCurrent = ProtocolPacked
	// ProtocolOldest is the oldest version with which this program exchanges messages.
	ProtocolOldest = ProtocolUnannounced
)

// ProtocolRange is the version of a program and the oldest one that it accepts.
type ProtocolRange struct {
	Current ProtocolVersion `json:"current"`
	Oldest  ProtocolVersion `json:"oldest"`
}

// Protocol returns the range of this program.
func Protocol() ProtocolRange { return ProtocolRange{Current: ProtocolCurrent, Oldest: ProtocolOldest} }

// Accepts reports whether two programs may exchange messages. Both sides come
// to the same result, so that no link works in one direction only.
func (r ProtocolRange) Accepts(other ProtocolRange) bool {
	return other.Current >= r.Oldest && r.Current >= other.Oldest
}

// VersionError is an ErrVersion between this program and another instance.
type VersionError struct {
	// Peer is the other instance, or its host when it gave no id.
	Peer   InstanceID    `json:"peer"`
	Own    ProtocolRange `json:"own"`
	Theirs ProtocolRange `json:"theirs"`
}

// Error describes the error.
func (e VersionError) Error() string {
	return fmt.Sprintf("%v: %s has version %d and accepts %d and later; this program has %d and accepts %d and later",
		ErrVersion, e.Peer, e.Theirs.Current, e.Theirs.Oldest, e.Own.Current, e.Own.Oldest)
}

// Is reports whether target is ErrVersion.
func (e VersionError) Is(target error) bool { return target == ErrVersion }

// Needs returns the oldest protocol version whose programs apply the command
// as this one does. A new part, a new field of a part or a new value of a
// field returns the version that introduced it.
func (c Command) Needs() ProtocolVersion {
	if c.Departure != nil || c.Read != nil || c.Listing != nil || (c.Config != nil && (c.Config.Highest || c.Config.Config.isRouted())) {
		return ProtocolRouted
	}
	if c.Holder != nil || c.ListsHolders {
		return ProtocolAnnounced
	}
	return ProtocolUnannounced
}
