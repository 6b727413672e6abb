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

// File names in the data directory.
const (
	lockName      = "lock"
	formatName    = "format"
	identityName  = "identity"
	snapshotName  = "snapshot"
	segmentPrefix = "log-"
	tempSuffix    = ".tmp"
)

// formatText is the content of the format file. The number is increased when a
// program can no longer read the files of older programs.
const formatText = "azurestair data format 1\n"

// maxMetadataBytes limits the size of the format and identity files.
const maxMetadataBytes azurestair.Bytes = 4 << 10

// storeID identifies an initialized data directory.
type storeID [16]byte

// identity is the content of the identity file. An instance whose data
// directory has no identity file must not vote, because the votes in its log
// may be lost.
type identity struct {
	Instance azurestair.InstanceID `cbor:"1,keyasint"`
	Store    storeID               `cbor:"2,keyasint"`
}

// Init initializes the data directory of an instance. It fails with ErrConflict
// if the directory has an identity, or if it holds a log without an identity,
// whose votes a new log would lose. Init can be called again after a crash
// during Init, or after ErrNoSpace.
func Init(dir string, id azurestair.InstanceID) error {
	if err := createDir(dir); err != nil {
		return wrapNoSpace(err)
	}
	return wrapNoSpace(initStore(osFileSystem{dir}, id))
}

func createDir(dir string) error {
	if err := os.MkdirAll(dir, dirMode); err != nil {
		return err
	}
	return syncDir(filepath.Dir(filepath.Clean(dir)))
}

func initStore(fs fileSystem, id azurestair.InstanceID) (err error) {
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

// checkUnused checks that the directory holds no identity and no log. It
// accepts a log if there is a temporary identity file, because a crash during
// Init leaves both.
func checkUnused(fs fileSystem) error {
	names, err := fs.list()
	if err != nil {
		return err
	}
	if slices.Contains(names, identityName) {
		return fmt.Errorf("%w: data folder has an identity already", azurestair.ErrConflict)
	}
	if slices.Contains(names, identityName+tempSuffix) {
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
// file is the last step and completes the initialization.
func writeIdentity(fs fileSystem, id azurestair.InstanceID) error {
	ident := identity{Instance: id}
	if _, err := rand.Read(ident.Store[:]); err != nil {
		return err
	}
	payload, err := cbor.Marshal(ident)
	if err != nil {
		return err
	}
	if err := writeTempFile(fs, identityName, checksumSeed(0).appendFrame(nil, 0, payload)); err != nil {
		return err
	}
	if err := fs.sync(); err != nil {
		return err
	}
	if err := writeAtomic(fs, formatName, []byte(formatText)); err != nil {
		return err
	}
	first := segmentHeader{Number: 1, LogStart: true}
	if _, err := writeSegment(fs, ident.Store, first, azurestair.HardState{}, nil); err != nil {
		return err
	}
	return commitTempFile(fs, identityName)
}

// Owner returns the instance that a data directory belongs to. The error is
// ErrNoIdentity if the directory does not exist or has no identity.
func Owner(dir string) (azurestair.InstanceID, error) {
	ident, err := readIdentity(osFileSystem{dir})
	return ident.Instance, err
}

// verifyIdentity checks the format file and that the identity file names this
// instance, and returns the ID of the store.
func verifyIdentity(fs fileSystem, id azurestair.InstanceID) (storeID, error) {
	ident, err := readIdentity(fs)
	if err != nil {
		return storeID{}, err
	}
	if ident.Instance != id {
		return storeID{}, fmt.Errorf("%w: it belongs to instance %s, not to %s", azurestair.ErrNoIdentity, ident.Instance, id)
	}
	return ident.Store, nil
}

func readIdentity(fs fileSystem) (identity, error) {
	var ident identity
	data, err := fs.read(identityName, maxMetadataBytes)
	if errors.Is(err, os.ErrNotExist) {
		return ident, fmt.Errorf("%w: it has no file %s", azurestair.ErrNoIdentity, identityName)
	}
	if err != nil {
		return ident, err
	}
	if err := checkFormat(fs); err != nil {
		return ident, err
	}
	payload, next, ok := checksumSeed(0).readFrame(data, 0)
	if !ok || next != len(data) {
		return ident, corruptError(identityName, 0, "checksum does not match")
	}
	if err := cbor.Unmarshal(payload, &ident); err != nil {
		return ident, corruptError(identityName, 0, err)
	}
	return ident, nil
}

func checkFormat(fs fileSystem) error {
	data, err := fs.read(formatName, maxMetadataBytes)
	if errors.Is(err, os.ErrNotExist) {
		return corruptError(formatName, 0, "file is missing")
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
