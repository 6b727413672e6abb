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

type names map[string]*inode

// simDisk implements files in memory. Content is durable after a sync of the
// file, and names are after a sync of the folder. The step failAt fails, and
// with halt every later one too, as in a crash.
type simDisk struct {
	rng     *rand.Rand
	names   names
	durable names
	// pending holds the changes of names since the last sync of the folder.
	pending       []func(names)
	steps, failAt int
	halt          bool
}

func newSimDisk(seed uint64) *simDisk {
	return &simDisk{rng: rand.New(rand.NewPCG(seed, 3)), names: names{}, durable: names{}}
}

func (d *simDisk) step() error {
	d.steps++
	if d.steps == d.failAt || (d.halt && d.failAt > 0 && d.steps > d.failAt) {
		return errInjected
	}
	return nil
}

func (d *simDisk) change(op func(names)) error {
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
	if n, ok := d.names[name]; ok {
		return slices.Clone(n.data), nil
	}
	return nil, os.ErrNotExist
}

func (d *simDisk) create(name string) (file, error) {
	n := &inode{disk: d}
	return n, d.change(func(m names) { m[name] = n })
}

func (d *simDisk) open(name string) (file, error) { return d.names[name], nil }

func (d *simDisk) rename(from, to string) error {
	n := d.names[from]
	return d.change(func(m names) {
		delete(m, from)
		m[to] = n
	})
}

func (d *simDisk) remove(name string) error {
	return d.change(func(m names) { delete(m, name) })
}

func (d *simDisk) sync() error {
	if err := d.step(); err != nil {
		return err
	}
	d.durable, d.pending = maps.Clone(d.names), nil
	return nil
}

// crash returns what is left after a loss of power: any of the unsynced
// changes of names, and any part of the unsynced content.
func (d *simDisk) crash() *simDisk {
	left := newSimDisk(d.rng.Uint64())
	kept := maps.Clone(d.durable)
	for _, op := range d.pending {
		if d.rng.IntN(2) == 0 {
			op(kept)
		}
	}
	for _, name := range slices.Sorted(maps.Keys(kept)) {
		data := kept[name].settle(d.rng)
		left.names[name] = &inode{disk: left, data: data, durable: slices.Clone(data)}
	}
	left.durable = maps.Clone(left.names)
	return left
}

// inode is a file's content as programs see it and as it survives a crash.
type inode struct {
	disk          *simDisk
	data, durable []byte
	// lostFrom and lostTo bound content whose sync failed. Programs still read
	// it, but no later sync writes it, as the page cache counts it as clean.
	lostFrom, lostTo int
}

// stored returns the content as a sync writes it.
func (n *inode) stored() []byte {
	data := slices.Clone(n.data)
	clear(data[n.lostFrom:n.lostTo])
	return data
}

// settle returns the synced content with any part of the rest: a prefix of it,
// all of it, or all but a block that was not written back.
func (n *inode) settle(rng *rand.Rand) []byte {
	data, synced := n.stored(), len(n.durable)
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

// Write at the failed step stores a part and reports either an error or the
// short count alone.
func (n *inode) Write(p []byte) (int, error) {
	err, stored := n.disk.step(), len(p)
	if err != nil {
		stored = n.disk.rng.IntN(len(p))
	}
	n.data = append(n.data, p[:stored]...)
	if n.disk.rng.IntN(2) == 0 {
		err = nil
	}
	return stored, err
}

func (n *inode) Sync() error {
	if err := n.disk.step(); err != nil {
		n.lostFrom, n.lostTo = len(n.durable), len(n.data)
		return err
	}
	n.durable = n.stored()
	return nil
}

func (n *inode) Close() error { return nil }
