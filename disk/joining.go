package disk

import (
	"errors"
	"os"
	"slices"

	"azurestair.example/azurestair"
)

// joiningMarkerName is the file that marks the data directory of an instance
// that is joining an existing cluster. The instance may be a voter that lost
// its disk and must not vote until the log that it receives lists it as a
// learner.
const joiningMarkerName = "joining"

// InitJoining initializes the data directory of an instance that joins an
// existing cluster.
func InitJoining(dir string, id azurestair.InstanceID) error {
	if err := createDir(dir); err != nil {
		return wrapNoSpace(err)
	}
	fs := osFileSystem{dir}
	if err := writeJoiningMarker(fs); err != nil {
		return wrapNoSpace(err)
	}
	return wrapNoSpace(initStore(fs, id))
}

// writeJoiningMarker creates the marker. It is called before the identity is
// written, so that a crash cannot leave an identity without the marker. It
// fails if the directory is already in use.
func writeJoiningMarker(fs fileSystem) error {
	if err := checkUnused(fs); err != nil {
		return err
	}
	return writeAtomic(fs, joiningMarkerName, nil)
}

// Joining reports whether the log has not listed the instance as a learner yet;
// see EndJoining.
func (s *Store) Joining() (bool, error) {
	names, err := s.fileSystem.list()
	return slices.Contains(names, joiningMarkerName), err
}

// EndJoining durably records that the log lists the instance as a learner.
func (s *Store) EndJoining() error {
	if err := s.prepare(); err != nil {
		return err
	}
	err := s.fileSystem.remove(joiningMarkerName)
	if errors.Is(err, os.ErrNotExist) {
		return nil
	}
	if err == nil {
		err = s.fileSystem.sync()
	}
	return s.fail(err)
}
