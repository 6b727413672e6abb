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

// ErrLocked reports a data folder that another process uses.
var ErrLocked = errs.New("data folder is in use")

// files is the part of the file system that the store uses. Names are relative
// to the data folder. Tests replace it to inject faults.
type files interface {
	// lock excludes other processes until the returned value is closed.
	lock() (io.Closer, error)
	// list returns the names in the data folder.
	list() ([]string, error)
	// read returns a whole file of at most limit bytes.
	read(name string, limit azurestair.Bytes) ([]byte, error)
	// create makes an empty file or empties an existing one.
	create(name string) (file, error)
	// open opens a file to append to it.
	open(name string) (file, error)
	rename(from, to string) error
	remove(name string) error
	// sync makes created, renamed and removed names durable.
	sync() error
}

// file is a file that is open for appending.
type file interface {
	io.WriteCloser
	Sync() error
}

const (
	folderMode = 0o750
	fileMode   = 0o640
)

// osFiles implements files in a folder of the operating system.
type osFiles struct {
	dir string
}

func (o osFiles) path(name string) string { return filepath.Join(o.dir, name) }

func (o osFiles) lock() (io.Closer, error) {
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

func (o osFiles) list() ([]string, error) {
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

func (o osFiles) read(name string, limit azurestair.Bytes) ([]byte, error) {
	info, err := os.Stat(o.path(name))
	if err != nil {
		return nil, err
	}
	if size := azurestair.Bytes(info.Size()); size > limit {
		return nil, fmt.Errorf("%w: %s has %d bytes; allowed %d", azurestair.ErrTooLarge, name, size, limit)
	}
	return os.ReadFile(o.path(name))
}

func (o osFiles) create(name string) (file, error) {
	return os.OpenFile(o.path(name), os.O_CREATE|os.O_TRUNC|os.O_WRONLY|os.O_APPEND, fileMode)
}

func (o osFiles) open(name string) (file, error) {
	return os.OpenFile(o.path(name), os.O_WRONLY|os.O_APPEND, fileMode)
}

func (o osFiles) rename(from, to string) error { return os.Rename(o.path(from), o.path(to)) }
func (o osFiles) remove(name string) error     { return os.Remove(o.path(name)) }
func (o osFiles) sync() error                  { return syncFolder(o.dir) }

func syncFolder(dir string) error {
	f, err := os.Open(dir)
	if err != nil {
		return err
	}
	return errors.Join(f.Sync(), f.Close())
}

// writeAll writes data and reports a short write.
func writeAll(f file, data []byte) error {
	n, err := f.Write(data)
	if err == nil && n < len(data) {
		return io.ErrShortWrite
	}
	return err
}

// writeTemporary writes a file under its temporary name and syncs its content.
func writeTemporary(fs files, name string, parts ...[]byte) (err error) {
	f, err := fs.create(name + temporarySuffix)
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

// commitTemporary gives a temporary file its name and makes the name durable.
func commitTemporary(fs files, name string) error {
	if err := fs.rename(name+temporarySuffix, name); err != nil {
		return err
	}
	return fs.sync()
}

// writeAtomic replaces a file as a whole.
func writeAtomic(fs files, name string, parts ...[]byte) error {
	if err := writeTemporary(fs, name, parts...); err != nil {
		return err
	}
	return commitTemporary(fs, name)
}
