package disk

import (
	"errors"
	"os"

	"github.com/fxamacker/cbor/v2"

	"azurestair.example/azurestair"
)

const (
	contactsName = "contacts"
	// maxContactsBytes limits the size of the contacts file: MaxContacts
	// contacts with names and addresses of ordinary length.
	maxContactsBytes azurestair.Bytes = 1 << 20
)

// ContactFile stores the contacts of a control instance in its data directory.
// It is independent of the Store, and its methods must not be called
// concurrently.
type ContactFile struct {
	// Dir is the data directory.
	Dir string
	// fileSystem replaces the files in Dir in tests.
	fileSystem fileSystem
}

func (f ContactFile) files() fileSystem {
	if f.fileSystem != nil {
		return f.fileSystem
	}
	return osFileSystem{f.Dir}
}

// Load returns the stored contacts, or an empty list if none are stored.
func (f ContactFile) Load() (azurestair.ContactList, error) {
	var l azurestair.ContactList
	data, err := f.files().read(contactsName, maxContactsBytes)
	if errors.Is(err, os.ErrNotExist) {
		return l, nil
	}
	if err != nil {
		return l, err
	}
	payload, next, ok := checksumSeed(0).readFrame(data, 0)
	if !ok || next != len(data) {
		return l, corruptError(contactsName, 0, "checksum does not match")
	}
	if err := cbor.Unmarshal(payload, &l); err != nil {
		return azurestair.ContactList{}, corruptError(contactsName, 0, err)
	}
	if err := l.Validate(); err != nil {
		return azurestair.ContactList{}, corruptError(contactsName, 0, err)
	}
	return l, nil
}

// Save replaces the stored contacts atomically.
func (f ContactFile) Save(l azurestair.ContactList) error {
	payload, err := cbor.Marshal(l)
	if err != nil {
		return err
	}
	return writeAtomic(f.files(), contactsName, checksumSeed(0).appendFrame(nil, 0, payload))
}
