package disk

import (
	"bytes"
	"crypto/rand"
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"slices"
	"strings"

	"github.com/fxamacker/cbor/v2"

	"azurestair.example/azurestair"
)

// Names in the data folder.
const (
	lockName        = "lock"
	formatName      = "format"
	identityName    = "identity"
	snapshotName    = "snapshot"
	segmentPrefix   = "log-"
	temporarySuffix = ".tmp"
)

// formatText is the content of the format file. Its number changes when the
// files of an older program can no longer be read.
const formatText = "azurestair data format 1\n"

// maxSmallFile bounds the format and identity files.
const maxSmallFile azurestair.Bytes = 4 << 10

// storeID tells one initialised data folder from every other.
type storeID [16]byte

// identity is the content of the identity file. A folder without it has no
// vote, because what it promised in the log may be lost.
type identity struct {
	Instance azurestair.InstanceID `cbor:"1,keyasint"`
	Store    storeID               `cbor:"2,keyasint"`
}

// Init makes a data folder for an instance. It refuses a folder that has an
// identity, and one that holds a log without one, because the votes in that
// log would be lost. After a crash in Init, Init may be called again.
func Init(dir string, id azurestair.InstanceID) error {
	if err := makeFolder(dir); err != nil {
		return err
	}
	return initialise(osFiles{dir}, id)
}

func makeFolder(dir string) error {
	if err := os.MkdirAll(dir, folderMode); err != nil {
		return err
	}
	return syncFolder(filepath.Dir(filepath.Clean(dir)))
}

func initialise(fs files, id azurestair.InstanceID) (err error) {
	if err := azurestair.CheckName("instance", string(id)); err != nil {
		return err
	}
	lock, err := fs.lock()
	if err != nil {
		return err
	}
	defer func() { err = errors.Join(err, lock.Close()) }()
	if err := checkUnused(fs); err != nil {
		return err
	}
	return writeIdentity(fs, id)
}

// checkUnused passes over the log of an Init that a crash ended, which the
// temporary identity file shows.
func checkUnused(fs files) error {
	names, err := fs.list()
	if err != nil {
		return err
	}
	if slices.Contains(names, identityName) {
		return fmt.Errorf("%w: data folder has an identity already", azurestair.ErrConflict)
	}
	if slices.Contains(names, identityName+temporarySuffix) {
		return nil
	}
	for _, name := range names {
		if name == snapshotName || strings.HasPrefix(name, segmentPrefix) {
			return fmt.Errorf("%w: data folder has no identity, but holds %s", azurestair.ErrConflict, name)
		}
	}
	return nil
}

// writeIdentity writes all files of an empty store. The rename of the identity
// file comes last and completes it.
func writeIdentity(fs files, id azurestair.InstanceID) error {
	who := identity{Instance: id}
	if _, err := rand.Read(who.Store[:]); err != nil {
		return err
	}
	payload, err := cbor.Marshal(who)
	if err != nil {
		return err
	}
	if err := writeTemporary(fs, identityName, seed(0).appendFrame(nil, 0, payload)); err != nil {
		return err
	}
	if err := fs.sync(); err != nil {
		return err
	}
	if err := writeAtomic(fs, formatName, []byte(formatText)); err != nil {
		return err
	}
	first := segmentHeader{Number: 1, Restart: true}
	if _, err := writeSegment(fs, who.Store, first, azurestair.HardState{}, nil); err != nil {
		return err
	}
	return commitTemporary(fs, identityName)
}

// Owner returns the instance that a data folder belongs to. The error is
// ErrNoIdentity for a folder that does not exist or has no identity.
func Owner(dir string) (azurestair.InstanceID, error) {
	who, err := loadIdentity(osFiles{dir})
	return who.Instance, err
}

// readIdentity checks the format and identity files and returns the store's id.
func readIdentity(fs files, id azurestair.InstanceID) (storeID, error) {
	who, err := loadIdentity(fs)
	if err != nil {
		return storeID{}, err
	}
	if who.Instance != id {
		return storeID{}, fmt.Errorf("%w: it belongs to instance %s, not to %s", azurestair.ErrNoIdentity, who.Instance, id)
	}
	return who.Store, nil
}

func loadIdentity(fs files) (identity, error) {
	var who identity
	data, err := fs.read(identityName, maxSmallFile)
	if errors.Is(err, os.ErrNotExist) {
		return who, fmt.Errorf("%w: it has no file %s", azurestair.ErrNoIdentity, identityName)
	}
	if err != nil {
		return who, err
	}
	if err := checkFormat(fs); err != nil {
		return who, err
	}
	payload, next, ok := seed(0).readFrame(data, 0)
	if !ok || next != len(data) {
		return who, corrupt(identityName, 0, "checksum does not match")
	}
	if err := cbor.Unmarshal(payload, &who); err != nil {
		return who, corrupt(identityName, 0, err)
	}
	return who, nil
}

func checkFormat(fs files) error {
	data, err := fs.read(formatName, maxSmallFile)
	if errors.Is(err, os.ErrNotExist) {
		return corrupt(formatName, 0, "file is missing")
	}
	if err != nil {
		return err
	}
	if string(data) != formatText {
		return fmt.Errorf("%w: data folder has %.64q; this program reads %q; start the program that wrote the folder",
			azurestair.ErrInvalid, bytes.TrimSpace(data), strings.TrimSpace(formatText))
	}
	return nil
}
