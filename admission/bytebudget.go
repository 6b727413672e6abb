package admission

import "azurestair.example/azurestair"

// budgetReserveDivisor is the part of a byte budget that is kept for requests
// that arrive while the holders that were chosen to give way still release their
// bytes.
const budgetReserveDivisor = 8

// ByteBudget decides who may hold how many bytes of a process's memory. Holders
// belong to client blocks. When all but a reserve is held, the largest holder of
// the block that holds most has to give way, the newest of several equal ones.
// Holders that are pinned hold bytes for a request that may have run and are
// never chosen. A reservation beyond the whole budget fails.
type ByteBudget[K comparable] struct {
	limit azurestair.Bytes
	used  azurestair.Bytes
	// releasing is the part of used whose holders have been chosen to give way.
	releasing azurestair.Bytes
	holders   map[K]*byteHolder
	blocks    map[azurestair.ClientBlock]azurestair.Bytes
	sequence  uint64
}

type byteHolder struct {
	block  azurestair.ClientBlock
	bytes  azurestair.Bytes
	number uint64
	pinned bool
	chosen bool
}

// NewByteBudget returns a budget of limit bytes.
func NewByteBudget[K comparable](limit azurestair.Bytes) *ByteBudget[K] {
	return &ByteBudget[K]{limit: limit, holders: map[K]*byteHolder{}, blocks: map[azurestair.ClientBlock]azurestair.Bytes{}}
}

// Used returns the bytes that are held.
func (b *ByteBudget[K]) Used() azurestair.Bytes { return b.used }

// Reserve adds n bytes to what a holder holds, and returns the holders that have
// to give way, which hold their bytes until they release them. It returns false
// if the bytes may not be taken: the budget is exhausted, or the holder itself
// has to give way. pinned states whether the holder is pinned from now on.
func (b *ByteBudget[K]) Reserve(id K, block azurestair.ClientBlock, n azurestair.Bytes, pinned bool) ([]K, bool) {
	h, ok := b.holders[id]
	if ok && h.chosen {
		return nil, false
	}
	if b.used+n > b.limit {
		return b.choose(n), false
	}
	if !ok {
		b.sequence++
		h = &byteHolder{block: block, number: b.sequence}
		b.holders[id] = h
	}
	h.pinned = pinned
	h.bytes += n
	b.used += n
	b.blocks[h.block] += n
	victims := b.choose(0)
	if h.chosen {
		// It releases what it holds; these bytes were not taken.
		b.Release(id, n)
		return victims, false
	}
	return victims, true
}

// choose returns the holders that have to give way, so that the reserve is free
// after n more bytes.
func (b *ByteBudget[K]) choose(n azurestair.Bytes) []K {
	var out []K
	soft := b.limit - b.limit/budgetReserveDivisor
	for b.used+n-b.releasing > soft {
		id, h := b.largest()
		if h == nil {
			break
		}
		h.chosen = true
		b.releasing += h.bytes
		out = append(out, id)
	}
	return out
}

// largest returns the holder that has to give way first.
func (b *ByteBudget[K]) largest() (K, *byteHolder) {
	var id K
	var best *byteHolder
	for k, h := range b.holders {
		if h.pinned || h.chosen || h.bytes == 0 {
			continue
		}
		if best == nil || b.isBefore(h, best) {
			id, best = k, h
		}
	}
	return id, best
}

// isBefore reports whether a has to give way before c.
func (b *ByteBudget[K]) isBefore(a, c *byteHolder) bool {
	if x, y := b.blocks[a.block], b.blocks[c.block]; x != y {
		return x > y
	}
	if a.bytes != c.bytes {
		return a.bytes > c.bytes
	}
	return a.number > c.number
}

// Pin sets whether a holder may not be chosen to give way.
func (b *ByteBudget[K]) Pin(id K, pinned bool) {
	if h, ok := b.holders[id]; ok {
		h.pinned = pinned
	}
}

// Release takes n bytes from what a holder holds. A holder without bytes is
// forgotten.
func (b *ByteBudget[K]) Release(id K, n azurestair.Bytes) {
	h, ok := b.holders[id]
	if !ok {
		return
	}
	b.subtract(h, min(n, h.bytes))
	if h.bytes == 0 {
		delete(b.holders, id)
	}
}

func (b *ByteBudget[K]) subtract(h *byteHolder, n azurestair.Bytes) {
	h.bytes -= n
	b.used -= n
	if h.chosen {
		b.releasing -= n
	}
	if b.blocks[h.block] -= n; b.blocks[h.block] == 0 {
		delete(b.blocks, h.block)
	}
}
