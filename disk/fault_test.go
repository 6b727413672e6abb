package disk

import (
	"errors"
	"io"
	"maps"
	"math/rand/v2"
	"os"
	"slices"

	"azurestair.example/azurestair"
)

var errInjected = errors.New("injected fault")

// inode is a file's content as programs see it and as it survives a crash.
type inode struct {
	data, durable []byte
	// lostFrom and lostTo bound content whose sync failed. Programs still read
	// it, but no later sync writes it, as the page cache counts it as clean.
	lostFrom, lostTo int
}

// stored returns the content as a sync writes it.
func (n *inode) stored() []byte {
	data := slices.Clone(n.data)
	clear(data[min(n.lostFrom, len(data)):min(n.lostTo, len(data))])
	return data
}

// simDisk implements files in memory. Content counts as durable after a sync
// of the file, and names after a sync of the folder. The step failAt fails.
type simDisk struct {
	rng     *rand.Rand
	names   map[string]*inode
	durable map[string]*inode
	// pending holds the changes of names since the last sync of the folder.
	pending []func(map[string]*inode)
	steps   int
	failAt  int
	// halt makes every step after the failed one fail too, as in a crash.
	halt bool
}

func newSimDisk(seed uint64) *simDisk {
	return &simDisk{
		rng:   rand.New(rand.NewPCG(seed, 3)),
		names: map[string]*inode{}, durable: map[string]*inode{},
	}
}

func (d *simDisk) step() error {
	d.steps++
	if d.steps == d.failAt || (d.halt && d.failAt > 0 && d.steps > d.failAt) {
		return errInjected
	}
	return nil
}

func (d *simDisk) change(op func(map[string]*inode)) error {
	if err := d.step(); err != nil {
		return err
	}
	op(d.names)
	d.pending = append(d.pending, op)
	return nil
}

func (d *simDisk) lock() (io.Closer, error) { return io.NopCloser(nil), nil }
func (d *simDisk) list() ([]string, error)  { return slices.Collect(maps.Keys(d.names)), nil }

func (d *simDisk) read(name string, _ azurestair.Bytes) ([]byte, error) {
	n, ok := d.names[name]
	if !ok {
		return nil, os.ErrNotExist
	}
	return slices.Clone(n.data), nil
}

func (d *simDisk) create(name string) (file, error) {
	n := &inode{}
	err := d.change(func(m map[string]*inode) { m[name] = n })
	return &simFile{d, n}, err
}

func (d *simDisk) open(name string) (file, error) { return &simFile{d, d.names[name]}, nil }

func (d *simDisk) rename(from, to string) error {
	n := d.names[from]
	return d.change(func(m map[string]*inode) {
		delete(m, from)
		m[to] = n
	})
}

func (d *simDisk) remove(name string) error {
	return d.change(func(m map[string]*inode) { delete(m, name) })
}

func (d *simDisk) sync() error {
	if err := d.step(); err != nil {
		return err
	}
	d.durable = maps.Clone(d.names)
	d.pending = nil
	return nil
}

// restart ends the faults, as when the process is started again.
func (d *simDisk) restart() *simDisk {
	d.failAt = 0
	return d
}

// crash returns what is left after a crash: any of the unsynced changes of
// names, and any part of the unsynced content.
func (d *simDisk) crash() *simDisk {
	left := newSimDisk(d.rng.Uint64())
	names := maps.Clone(d.durable)
	for _, op := range d.pending {
		if d.rng.IntN(2) == 0 {
			op(names)
		}
	}
	for _, name := range slices.Sorted(maps.Keys(names)) {
		data := d.settle(names[name])
		left.names[name] = &inode{data: data, durable: slices.Clone(data)}
	}
	left.durable = maps.Clone(left.names)
	return left
}

func (d *simDisk) settle(n *inode) []byte {
	synced := min(len(n.durable), len(n.data))
	unsynced := len(n.data) - synced
	data := n.stored()
	switch d.rng.IntN(4) {
	case 0:
		return slices.Clone(n.durable)
	case 1:
		return data[:synced+d.rng.IntN(unsynced+1)]
	case 2:
		// A block in the middle was not written back.
		from := synced + d.rng.IntN(unsynced+1)
		clear(data[from:min(len(data), from+64)])
	}
	return data
}

type simFile struct {
	disk *simDisk
	node *inode
}

// Write at the failed step stores a part and reports either an error or the
// short count alone.
func (f *simFile) Write(p []byte) (int, error) {
	err := f.disk.step()
	if err == nil {
		f.node.data = append(f.node.data, p...)
		return len(p), nil
	}
	n := f.disk.rng.IntN(len(p))
	f.node.data = append(f.node.data, p[:n]...)
	if f.disk.rng.IntN(2) == 0 {
		err = nil
	}
	return n, err
}

func (f *simFile) Sync() error {
	n := f.node
	if err := f.disk.step(); err != nil {
		n.lostFrom, n.lostTo = len(n.durable), len(n.data)
		return err
	}
	n.durable = n.stored()
	return nil
}

func (f *simFile) Close() error { return nil }
