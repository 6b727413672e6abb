package instance

import (
	"errors"
	"fmt"
	"slices"

	"azurestair.example/azurestair"
	"azurestair.example/azurestair/control"
)

// commandBatch is the payload of a log entry of kind EntryCommands.
type commandBatch struct {
	Commands []azurestair.Command `cbor:"1,keyasint"`
	// RequiredVersion is the oldest protocol version that applies the commands
	// in the same way as this program. It is omitted if that is
	// ProtocolUnannounced.
	RequiredVersion azurestair.ProtocolVersion `cbor:"2,keyasint,omitempty"`
}

// set sets the command at index i.
func (b *commandBatch) set(i int, c azurestair.Command) {
	b.Commands[i] = c
	if required := c.RequiredVersion(); required > azurestair.ProtocolUnannounced {
		b.RequiredVersion = max(b.RequiredVersion, required)
	}
}

// decodeEntry returns the commands of a log entry. It returns an error for an
// entry that this program does not fully know, since a replica that skipped it
// would diverge from the others. The caller then stops the process.
func (r *Replica) decodeEntry(e azurestair.LogEntry) (commandBatch, error) {
	var batch commandBatch
	switch e.Kind {
	case azurestair.EntryCommands:
		err := r.codec.UnmarshalRecord(e.Data, &batch)
		return batch, explainUnknownRecord(batch.RequiredVersion, err)
	case azurestair.EntryEmpty, azurestair.EntryMembership:
		return batch, nil
	}
	return batch, fmt.Errorf("%w: entry kind %d; start the newer program on this data folder", azurestair.ErrUnknownRecord, e.Kind)
}

// decodeImage decodes an image of the control state, with the same checks as
// decodeEntry.
func (r *Replica) decodeImage(data []byte, image *control.Image) error {
	err := r.codec.UnmarshalRecord(data, image)
	return explainUnknownRecord(image.RequiredVersion, err)
}

// explainUnknownRecord adds the required protocol version to the error for an
// unknown record.
func explainUnknownRecord(required azurestair.ProtocolVersion, err error) error {
	switch {
	case required > azurestair.ProtocolCurrent:
		return fmt.Errorf("%w: it needs protocol version %d and this program has %d; start the newer program on this data folder",
			azurestair.ErrUnknownRecord, required, azurestair.ProtocolCurrent)
	case errors.Is(err, azurestair.ErrUnknownRecord):
		return fmt.Errorf("%w; start the newer program on this data folder", err)
	}
	return err
}

// checkCommandVersion rejects a command that some member of the log would not
// apply in the same way as this replica, and the promotion of a learner that
// cannot read the log.
func (r *Replica) checkCommandVersion(c azurestair.Command) error {
	if m := c.Members; m != nil && m.Action == azurestair.MemberPromote {
		return r.checkMemberVersion(m.Instance, r.state.RequiredVersion())
	}
	return r.checkMemberVersions(c.RequiredVersion())
}

// checkMemberVersions rejects a record that needs a later protocol version than
// some member of the log has announced. If the log already contains a record of
// that version, the members passed the check for that record, and it is not
// repeated.
func (r *Replica) checkMemberVersions(required azurestair.ProtocolVersion) error {
	if required <= max(azurestair.ProtocolOldest, r.state.RequiredVersion()) {
		return nil
	}
	for _, id := range r.otherMembers() {
		if err := r.checkMemberVersion(id, required); err != nil {
			return err
		}
	}
	return nil
}

func (r *Replica) checkMemberVersion(id azurestair.InstanceID, required azurestair.ProtocolVersion) error {
	if required <= azurestair.ProtocolOldest {
		return nil
	}
	if v := r.peers.Version(id); id != r.self && v < required {
		return fmt.Errorf("%w: %w: %s announces version %d; the change needs version %d on all members of the log",
			azurestair.ErrConflict, azurestair.ErrVersion, id, v, required)
	}
	return nil
}

// otherMembers returns the voters and learners of the log except this instance.
func (r *Replica) otherMembers() []azurestair.InstanceID {
	m := r.node.Status().Membership
	return slices.DeleteFunc(slices.Concat(m.Voters, m.Learners), func(id azurestair.InstanceID) bool { return id == r.self })
}
