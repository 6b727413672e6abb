package instance

import (
	"errors"
	"fmt"
	"slices"

	"azurestair.example/azurestair"
	"azurestair.example/azurestair/control"
)

// commandBatch is what a log entry of commands holds.
type commandBatch struct {
	Commands []azurestair.Command `cbor:"1,keyasint"`
	// Needs is the oldest protocol version whose programs apply the commands
	// as this one does. It is left out while that is ProtocolUnannounced.
	Needs azurestair.ProtocolVersion `cbor:"2,keyasint,omitempty"`
}

// add sets the command at i.
func (b *commandBatch) add(i int, c azurestair.Command) {
	b.Commands[i] = c
	if needs := c.Needs(); needs > azurestair.ProtocolUnannounced {
		b.Needs = max(b.Needs, needs)
	}
}

// readEntry returns the commands of a log entry. An entry that this program
// does not fully know is refused, since a replica that passed over it would
// diverge from the others; the caller then ends the process.
func (r *Replica) readEntry(e azurestair.LogEntry) (commandBatch, error) {
	var batch commandBatch
	switch e.Kind {
	case azurestair.EntryCommands:
		err := r.codec.UnmarshalRecord(e.Data, &batch)
		return batch, checkRecord(batch.Needs, err)
	case azurestair.EntryEmpty, azurestair.EntryMembership:
		return batch, nil
	}
	return batch, fmt.Errorf("%w: entry kind %d; start the newer program on this data folder", azurestair.ErrUnknownRecord, e.Kind)
}

// readImage reads an image of the control state, and refuses it like a log entry.
func (r *Replica) readImage(data []byte, image *control.Image) error {
	err := r.codec.UnmarshalRecord(data, image)
	return checkRecord(image.Needs, err)
}

// checkRecord adds to an unknown record what it needs.
func checkRecord(needs azurestair.ProtocolVersion, err error) error {
	switch {
	case needs > azurestair.ProtocolCurrent:
		return fmt.Errorf("%w: it needs protocol version %d and this program has %d; start the newer program on this data folder",
			azurestair.ErrUnknownRecord, needs, azurestair.ProtocolCurrent)
	case errors.Is(err, azurestair.ErrUnknownRecord):
		return fmt.Errorf("%w; start the newer program on this data folder", err)
	}
	return err
}

// checkMembers refuses a command that a member of the log would not apply as
// this replica does, and the promotion of a learner that cannot read the log.
func (r *Replica) checkMembers(c azurestair.Command) error {
	if m := c.Members; m != nil && m.Action == azurestair.MemberPromote {
		return r.checkVersion(m.Instance, r.state.Needs())
	}
	return r.checkNeeds(c.Needs())
}

// checkNeeds refuses a record that needs a later protocol version than a
// member of the log has announced. Once a record of that version is in the
// log, it has passed this check, and more of them may follow.
func (r *Replica) checkNeeds(needs azurestair.ProtocolVersion) error {
	if needs <= max(azurestair.ProtocolOldest, r.state.Needs()) {
		return nil
	}
	for _, id := range r.otherMembers() {
		if err := r.checkVersion(id, needs); err != nil {
			return err
		}
	}
	return nil
}

func (r *Replica) checkVersion(id azurestair.InstanceID, needs azurestair.ProtocolVersion) error {
	if needs <= azurestair.ProtocolOldest {
		return nil
	}
	if v := r.peers.Version(id); id != r.self && v < needs {
		return fmt.Errorf("%w: %w: %s announces version %d; the change needs version %d on all members of the log",
			azurestair.ErrConflict, azurestair.ErrVersion, id, v, needs)
	}
	return nil
}

// otherMembers returns the voters and learners of the log but this one.
func (r *Replica) otherMembers() []azurestair.InstanceID {
	m := r.node.Status().Membership
	return slices.DeleteFunc(slices.Concat(m.Voters, m.Learners), func(id azurestair.InstanceID) bool { return id == r.self })
}
