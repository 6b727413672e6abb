package disk

import (
	"errors"
	"os"

	"azurestair.example/azurestair"
)

// Names of HintFile.
const (
	ContactsFile = "contacts"
	SnapshotFile = "published"
)

// maxHintBytes limits the size of a hint file: a compressed snapshot of
// thousands of upstreams, or MaxContacts contacts.
const maxHintBytes azurestair.Bytes = 8 << 20

// HintFile stores something in the data directory that helps an instance after
// a restart, but that it can do without. It is independent of the Store, and its
// methods must not be called concurrently.
type HintFile struct {
	// Dir is the data directory, and Name one of the names above.
	Dir, Name string
	// fileSystem replaces the files in Dir in tests.
	fileSystem fileSystem
}

func (f HintFile) files() fileSystem {
	if f.fileSystem != nil {
		return f.fileSystem
	}
	return osFileSystem{f.Dir}
}

// Load returns what was stored last, or nil if nothing was.
func (f HintFile) Load() ([]byte, error) {
	data, err := f.files().read(f.Name, maxHintBytes)
	if errors.Is(err, os.ErrNotExist) {
		return nil, nil
	}
	if err != nil {
		return nil, err
	}
	payload, next, ok := checksumSeed(0).readFrame(data, 0)
	if !ok || next != len(data) {
		return nil, corruptError(f.Name, 0, "checksum does not match")
	}
	return payload, nil
}

// Save replaces what is stored, atomically.
func (f HintFile) Save(payload []byte) error {
	return writeAtomic(f.files(), f.Name, checksumSeed(0).appendFrame(nil, 0, payload))
}
