package disk

import (
	"errors"
	"fmt"
	"io"
	"os"
	"path/filepath"
	"syscall"

	"github.com/zeebo/errs"

	"azurestair.example/azurestair"
)

// ErrLocked is returned when another process uses the data directory.
var ErrLocked = errs.New("data folder is in use")

// fileSystem is the set of file operations that the store uses. Names are
// relative to the data directory. Tests replace it to inject faults.
type fileSystem interface {
	// lock takes an exclusive lock and holds it until the returned value is
	// closed.
	lock() (io.Closer, error)
	// list returns the names in the data directory.
	list() ([]string, error)
	// read returns the content of a file. It fails with ErrTooLarge if the file
	// is larger than limit.
	read(name string, limit azurestair.Bytes) ([]byte, error)
	// create creates an empty file, or truncates an existing one, for
	// appending.
	create(name string) (file, error)
	// open opens an existing file for appending.
	open(name string) (file, error)
	rename(from, to string) error
	remove(name string) error
	// sync syncs the directory, which makes created, renamed and removed names
	// durable.
	sync() error
}

// file is a file that is open for appending.
type file interface {
	io.WriteCloser
	Sync() error
}

const (
	dirMode  = 0o750
	fileMode = 0o640
)

// osFileSystem implements fileSystem in a directory of the operating system.
type osFileSystem struct {
	dir string
}

func (o osFileSystem) path(name string) string { return filepath.Join(o.dir, name) }

func (o osFileSystem) lock() (io.Closer, error) {
	f, err := os.OpenFile(o.path(lockName), os.O_CREATE|os.O_RDWR, fileMode)
	if err != nil {
		return nil, err
	}
	err = syscall.Flock(int(f.Fd()), syscall.LOCK_EX|syscall.LOCK_NB)
	if errors.Is(err, syscall.EWOULDBLOCK) {
		err = fmt.Errorf("%w: another process holds %s", ErrLocked, f.Name())
	}
	if err != nil {
		return nil, errors.Join(err, f.Close())
	}
	return f, nil
}

func (o osFileSystem) list() ([]string, error) {
	entries, err := os.ReadDir(o.dir)
	if err != nil {
		return nil, err
	}
	names := make([]string, 0, len(entries))
	for _, e := range entries {
		names = append(names, e.Name())
	}
	return names, nil
}

func (o osFileSystem) read(name string, limit azurestair.Bytes) ([]byte, error) {
	info, err := os.Stat(o.path(name))
	if err != nil {
		return nil, err
	}
	if size := azurestair.Bytes(info.Size()); size > limit {
		return nil, fmt.Errorf("%w: %s has %d bytes; allowed %d", azurestair.ErrTooLarge, name, size, limit)
	}
	return os.ReadFile(o.path(name))
}

func (o osFileSystem) create(name string) (file, error) {
	return os.OpenFile(o.path(name), os.O_CREATE|os.O_TRUNC|os.O_WRONLY|os.O_APPEND, fileMode)
}

func (o osFileSystem) open(name string) (file, error) {
	return os.OpenFile(o.path(name), os.O_WRONLY|os.O_APPEND, fileMode)
}

func (o osFileSystem) rename(from, to string) error { return os.Rename(o.path(from), o.path(to)) }
func (o osFileSystem) remove(name string) error     { return os.Remove(o.path(name)) }
func (o osFileSystem) sync() error                  { return syncDir(o.dir) }

func syncDir(dir string) error {
	f, err := os.Open(dir)
	if err != nil {
		return err
	}
	return errors.Join(f.Sync(), f.Close())
}

// writeAll writes data and returns io.ErrShortWrite after a short write.
func writeAll(f file, data []byte) error {
	n, err := f.Write(data)
	if err == nil && n < len(data) {
		return io.ErrShortWrite
	}
	return err
}

// writeTempFile writes and syncs a file under its temporary name.
func writeTempFile(fs fileSystem, name string, parts ...[]byte) (err error) {
	f, err := fs.create(name + tempSuffix)
	if err != nil {
		return err
	}
	defer func() { err = errors.Join(err, f.Close()) }()
	for _, p := range parts {
		if err := writeAll(f, p); err != nil {
			return err
		}
	}
	return f.Sync()
}

// commitTempFile renames a temporary file to its final name and makes the
// rename durable.
func commitTempFile(fs fileSystem, name string) error {
	if err := fs.rename(name+tempSuffix, name); err != nil {
		return err
	}
	return fs.sync()
}

// writeAtomic replaces a file atomically.
func writeAtomic(fs fileSystem, name string, parts ...[]byte) error {
	if err := writeTempFile(fs, name, parts...); err != nil {
		return err
	}
	return commitTempFile(fs, name)
}
