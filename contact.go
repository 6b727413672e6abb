package azurestair

import "fmt"

// MaxContacts is the maximum number of instances in a ContactList.
const MaxContacts = 1024

// Contact is an instance and the address of its peer listener.
type Contact struct {
	ID   InstanceID `cbor:"1,keyasint" json:"id"`
	Addr string     `cbor:"2,keyasint" json:"addr"`
	// Control is true if the instance can replicate the log.
	Control bool `cbor:"3,keyasint,omitempty" json:"control,omitempty"`
}

// Validate checks the contact.
func (c Contact) Validate() error {
	if err := CheckName("instance id", string(c.ID)); err != nil {
		return err
	}
	return CheckAddr(c.Addr)
}

// ContactList is the list of the instances of a fleet that a control instance
// stores.
type ContactList struct {
	Fleet FleetID `cbor:"1,keyasint,omitempty" json:"fleet,omitempty"`
	// Contacts is sorted by address.
	Contacts []Contact `cbor:"2,keyasint,omitempty" json:"contacts,omitempty"`
}

// Validate checks the list.
func (l ContactList) Validate() error {
	if err := l.Fleet.Validate(); err != nil {
		return err
	}
	for i, c := range l.Contacts {
		if i > 0 && l.Contacts[i-1].Addr >= c.Addr {
			return fmt.Errorf("%w: contact %s is out of order", ErrInvalid, c.ID)
		}
	}
	return validateAll("contacts", l.Contacts, MaxContacts)
}
