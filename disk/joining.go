package disk

import (
	"errors"
	"os"
	"slices"

	"azurestair.example/azurestair"
)

// joiningName marks the data folder of an instance that joins an existing log.
// The instance may be a voter whose disk was lost, and must not vote before
// the log that it receives has admitted it as a learner.
const joiningName = "joining"

// InitJoining makes a data folder for an instance that joins an existing log.
func InitJoining(dir string, id azurestair.InstanceID) error {
	if err := makeFolder(dir); err != nil {
		return err
	}
	fs := osFiles{dir}
	if err := markJoining(fs); err != nil {
		return err
	}
	return initialise(fs, id)
}

// markJoining comes before the identity, so that no folder with an identity
// lacks its mark. A folder that is in use already gets none.
func markJoining(fs files) error {
	if err := checkUnused(fs); err != nil {
		return err
	}
	return writeAtomic(fs, joiningName, nil)
}

// Joining reports whether the instance has not yet been admitted as a learner.
func (s *Store) Joining() (bool, error) {
	names, err := s.fs.list()
	return slices.Contains(names, joiningName), err
}

// EndJoining records that the log lists the instance, and makes that durable.
func (s *Store) EndJoining() error {
	if s.failed != nil {
		return s.failed
	}
	err := s.fs.remove(joiningName)
	if errors.Is(err, os.ErrNotExist) {
		return nil
	}
	if err == nil {
		err = s.fs.sync()
	}
	if err != nil {
		s.failed = err
	}
	return err
}
