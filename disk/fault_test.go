package disk

import (
	"errors"
	"io"
	"maps"
	"math/rand/v2"
	"os"
	"slices"
	"syscall"

	"azurestair.example/azurestair"
)

var errInjected = errors.New("injected fault")

type directory map[string]*inode

// simDisk implements fileSystem in memory. File content becomes durable with a
// sync of the file, and names with a sync of the directory. Operation number
// failAt fails; with failAfter all later ones fail too, as after a crash.
type simDisk struct {
	rng     *rand.Rand
	names   directory
	durable directory
	// unsyncedChanges holds the changes of names since the last sync of the
	// directory.
	unsyncedChanges []func(directory)
	steps, failAt   int
	failAfter       bool
	// fullFrom and fullUntil bound the operations that fail because the disk is
	// full.
	fullFrom, fullUntil int
}

func newSimDisk(seed uint64) *simDisk {
	return &simDisk{rng: rand.New(rand.NewPCG(seed, 3)), names: directory{}, durable: directory{}}
}

func (d *simDisk) step() error {
	d.steps++
	if d.steps >= d.fullFrom && d.steps < d.fullUntil {
		return syscall.ENOSPC
	}
	if d.steps == d.failAt || (d.failAfter && d.failAt > 0 && d.steps > d.failAt) {
		return errInjected
	}
	return nil
}

func (d *simDisk) change(op func(directory)) error {
	if err := d.step(); err != nil {
		return err
	}
	op(d.names)
	d.unsyncedChanges = append(d.unsyncedChanges, op)
	return nil
}

func (d *simDisk) lock() (io.Closer, error) { return io.NopCloser(nil), nil }
func (d *simDisk) list() ([]string, error)  { return slices.Collect(maps.Keys(d.names)), nil }

func (d *simDisk) read(name string, _ azurestair.Bytes) ([]byte, error) {
	if n, ok := d.names[name]; ok {
		return slices.Clone(n.data), nil
	}
	return nil, os.ErrNotExist
}

func (d *simDisk) create(name string) (file, error) {
	n := &inode{disk: d}
	return n, d.change(func(m directory) { m[name] = n })
}

func (d *simDisk) open(name string) (file, error) { return d.names[name], d.step() }

func (d *simDisk) rename(from, to string) error {
	n := d.names[from]
	return d.change(func(m directory) {
		delete(m, from)
		m[to] = n
	})
}

func (d *simDisk) remove(name string) error {
	return d.change(func(m directory) { delete(m, name) })
}

func (d *simDisk) sync() error {
	if err := d.step(); err != nil {
		return err
	}
	d.durable, d.unsyncedChanges = maps.Clone(d.names), nil
	return nil
}

// crash returns the disk as it is after a power loss, with a random subset of
// the unsynced changes of names and a random part of the unsynced content.
func (d *simDisk) crash() *simDisk {
	after := newSimDisk(d.rng.Uint64())
	kept := maps.Clone(d.durable)
	for _, op := range d.unsyncedChanges {
		if d.rng.IntN(2) == 0 {
			op(kept)
		}
	}
	for _, name := range slices.Sorted(maps.Keys(kept)) {
		data := kept[name].contentAfterCrash(d.rng)
		after.names[name] = &inode{disk: after, data: data, durable: slices.Clone(data)}
	}
	after.durable = maps.Clone(after.names)
	return after
}

// inode holds the content of a file as programs read it and as it is durable.
type inode struct {
	disk          *simDisk
	data, durable []byte
	// unwrittenFrom and unwrittenTo bound the content whose sync failed.
	// Programs still read it, but no later sync writes it, because the page
	// cache marks it as clean.
	unwrittenFrom, unwrittenTo int
}

// durableContent returns the content that a sync makes durable.
func (n *inode) durableContent() []byte {
	data := slices.Clone(n.data)
	clear(data[n.unwrittenFrom:n.unwrittenTo])
	return data
}

// contentAfterCrash returns the synced content and a random part of the rest:
// none, a prefix, all, or all except a block that was not written back.
func (n *inode) contentAfterCrash(rng *rand.Rand) []byte {
	data, synced := n.durableContent(), len(n.durable)
	cut := synced + rng.IntN(len(data)-synced+1)
	switch rng.IntN(4) {
	case 0:
		return data[:synced]
	case 1:
		return data[:cut]
	case 2:
		clear(data[cut:min(len(data), cut+64)])
	}
	return data
}

// Write stores only a part of the data at a failed step and returns either an
// error or only a short count.
func (n *inode) Write(p []byte) (int, error) {
	err, stored := n.disk.step(), len(p)
	if err != nil {
		stored = n.disk.rng.IntN(len(p))
	}
	n.data = append(n.data, p[:stored]...)
	if !errors.Is(err, syscall.ENOSPC) && n.disk.rng.IntN(2) == 0 {
		err = nil
	}
	return stored, err
}

func (n *inode) Sync() error {
	if err := n.disk.step(); err != nil {
		n.unwrittenFrom, n.unwrittenTo = len(n.durable), len(n.data)
		return err
	}
	n.durable = n.durableContent()
	return nil
}

func (n *inode) Close() error { return nil }
