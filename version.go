package azurestair

import "fmt"

// ProtocolVersion is the version of the messages between the processes of the
// system and of the records in the replicated log. It is increased when older
// programs could misinterpret a message or a record, but not for each added
// field, because decoders of messages ignore unknown fields.
type ProtocolVersion uint32

const (
	// ProtocolUnannounced is the version of programs that do not announce a
	// version.
	ProtocolUnannounced ProtocolVersion = 1
	// ProtocolAnnounced is the first version in which programs announce their
	// version and reject unknown records of the log.
	ProtocolAnnounced ProtocolVersion = 2
	// ProtocolRouted is the first version with routes, configuration changes
	// that apply if their version is the highest, departures, and configuration
	// reads through the log.
	ProtocolRouted ProtocolVersion = 3
	// ProtocolCompressed is the first version in which programs decode
	// compressed updates in replies to reports.
	ProtocolCompressed ProtocolVersion = 4
	// ProtocolFleet is the first version in which the log holds a fleet id.
	ProtocolFleet ProtocolVersion = 5
	// ProtocolWorkspaces is the first version with workspaces, public routes and
	// the defaults that belong to them. A program of an earlier version would
	// serve requests without a key and forward keys to upstreams.
	ProtocolWorkspaces ProtocolVersion = 6
	// ProtocolCurrent is the version of this program.
	ProtocolCurrent = ProtocolWorkspaces
	// ProtocolOldest is the oldest version with which this program
	// communicates.
	ProtocolOldest = ProtocolUnannounced
)

// ProtocolRange is the protocol version of a program and the oldest version
// that it accepts.
type ProtocolRange struct {
	Current ProtocolVersion `json:"current"`
	Oldest  ProtocolVersion `json:"oldest"`
}

// Protocol returns the protocol range of this program.
func Protocol() ProtocolRange { return ProtocolRange{Current: ProtocolCurrent, Oldest: ProtocolOldest} }

// Accepts reports whether two programs may communicate. The relation is
// symmetric, so that no connection works in one direction only.
func (r ProtocolRange) Accepts(other ProtocolRange) bool {
	return other.Current >= r.Oldest && r.Current >= other.Oldest
}

// VersionError is an ErrVersion that describes the versions of this program and
// another instance.
type VersionError struct {
	// Peer is the id of the other instance, or its host if the id is unknown.
	Peer   InstanceID    `json:"peer"`
	Own    ProtocolRange `json:"own"`
	Theirs ProtocolRange `json:"theirs"`
}

// Error returns the error message.
func (e VersionError) Error() string {
	return fmt.Sprintf("%v: %s has version %d and accepts %d and later; this program has %d and accepts %d and later",
		ErrVersion, e.Peer, e.Theirs.Current, e.Theirs.Oldest, e.Own.Current, e.Own.Oldest)
}

// Is reports whether target is ErrVersion.
func (e VersionError) Is(target error) bool { return target == ErrVersion }

// RequiredVersion returns the oldest protocol version whose programs apply the
// command in the same way as this program. For a command with a kind of change,
// a field or a value of a field that was added later, it must return the
// version that introduced the addition.
func (c Command) RequiredVersion() ProtocolVersion {
	if c.needsWorkspaceProtocol() {
		return ProtocolWorkspaces
	}
	if c.Fleet != "" {
		return ProtocolFleet
	}
	if c.Departure != nil || c.Read != nil || c.UpstreamList != nil || (c.Config != nil && (c.Config.Highest || c.Config.Config.needsRoutedProtocol())) {
		return ProtocolRouted
	}
	if c.HolderChange != nil || c.ListsHolders {
		return ProtocolAnnounced
	}
	return ProtocolUnannounced
}

// needsWorkspaceProtocol reports whether the command uses features that were
// introduced with ProtocolWorkspaces.
func (c Command) needsWorkspaceProtocol() bool {
	switch {
	case c.Config != nil:
		return c.Config.Config.needsWorkspaceProtocol()
	case c.Claim != nil:
		return c.Claim.Workspace != ""
	case c.Completion != nil:
		return c.Completion.Workspace != ""
	}
	return false
}
