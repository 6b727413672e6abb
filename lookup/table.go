package lookup

import (
	"cmp"
	"slices"

	"azurestair.example/azurestair"
)

// Table maps client blocks to entry instances. It is immutable. The zero
// value finds nothing.
type Table struct {
	entries []azurestair.InstanceInfo
	lists   *[NumSlots]list
	plan    *plan
}

// Entries are the instances that a table is built from.
type Entries struct {
	// Live lists the ready entry instances, drained ones included.
	Live []azurestair.InstanceInfo
	// Drained names the live instances that an operator has drained.
	Drained map[azurestair.InstanceID]bool
}

// EntriesOf returns the entries of a snapshot: its instances that are ready
// and have an address for callers.
func EntriesOf(s *azurestair.Snapshot) Entries {
	e := Entries{Drained: map[azurestair.InstanceID]bool{}}
	for _, i := range s.Instances {
		if i.Ready && i.CallerAddr != "" {
			e.Live = append(e.Live, i)
		}
	}
	for _, d := range s.Drains {
		if d.Target.Kind == azurestair.TargetInstance {
			e.Drained[azurestair.InstanceID(d.Target.Name)] = true
		}
	}
	return e
}

// Build returns the table that follows prev, which may be nil, and whether it
// has reached the plan. An entry that is no longer live is replaced at once.
// A join, a drain or its end moves at most the share move of the first
// choices; the caller repeats the call once an interval until done. When
// every live entry is drained, the drained ones stay in use. Without a change
// Build returns prev itself.
func Build(prev *Table, e Entries, move azurestair.Percent) (next *Table, done bool) {
	live := slices.Clone(e.Live)
	slices.SortFunc(live, func(a, b azurestair.InstanceInfo) int { return cmp.Compare(a.ID, b.ID) })
	p := planFor(prev, wanted(live, e.Drained))
	if prev.settledOn(p, live) {
		return prev, true
	}
	next = &Table{entries: live, lists: new([NumSlots]list), plan: p}
	target := newIndex(live, len(p.members), func(i int) azurestair.InstanceID { return p.members[i].id })
	if prev == nil || prev.lists == nil {
		for slot := range next.lists {
			next.lists[slot] = target.translate(p.lists[slot])
		}
		return next, true
	}
	held := newIndex(live, len(prev.entries), func(i int) azurestair.InstanceID { return prev.entries[i].ID })
	return next, next.advance(prev, held, target, move.Of(NumSlots))
}

// advance fills the lists from those of prev and the plan, and reports
// whether all of them follow the plan.
func (t *Table) advance(prev *Table, held, target index, moves int) bool {
	done := true
	for slot := range t.lists {
		old, aim := held.translate(prev.lists[slot]), target.translate(t.plan.lists[slot])
		first := held.at(prev.lists[slot][0])
		switch {
		case first == noEntry || first == aim[0]:
			t.lists[slot] = aim
		case moves > 0:
			moves--
			t.lists[slot] = aim
		default:
			done = false
			t.lists[slot] = prepend(old[0], aim)
		}
	}
	return done
}

// settledOn reports whether the table already has the plan and the entries.
func (t *Table) settledOn(p *plan, live []azurestair.InstanceInfo) bool {
	if t == nil || t.lists == nil || t.plan != p || !slices.Equal(t.entries, live) {
		return false
	}
	target := newIndex(live, len(p.members), func(i int) azurestair.InstanceID { return p.members[i].id })
	for slot := range t.lists {
		if t.lists[slot] != target.translate(p.lists[slot]) {
			return false
		}
	}
	return true
}

// prepend puts first before the entries of l and drops the last one too many.
func prepend(first uint16, l list) list {
	out, n := emptyList, 1
	out[0] = first
	for _, i := range l {
		if i != first && i != noEntry && n < NumChoices {
			out[n] = i
			n++
		}
	}
	return out
}

// wanted returns the members of the plan: the live entries that are not
// drained, or all of them if all are drained.
func wanted(live []azurestair.InstanceInfo, drained map[azurestair.InstanceID]bool) []member {
	var all, undrained []member
	for _, i := range live {
		m := member{id: i.ID, region: i.Region}
		all = append(all, m)
		if !drained[i.ID] {
			undrained = append(undrained, m)
		}
	}
	if len(undrained) == 0 {
		return all
	}
	return undrained
}

// planFor returns the plan of prev if its membership is the same.
func planFor(prev *Table, members []member) *plan {
	if prev != nil && prev.plan != nil && slices.Equal(prev.plan.members, members) {
		return prev.plan
	}
	return newPlan(members)
}

// index translates positions in an older list of entries into positions in a
// newer one; entries that are gone have none.
type index []uint16

func newIndex(live []azurestair.InstanceInfo, n int, id func(int) azurestair.InstanceID) index {
	x := make(index, n)
	for i := range x {
		j, ok := slices.BinarySearchFunc(live, id(i), func(e azurestair.InstanceInfo, id azurestair.InstanceID) int {
			return cmp.Compare(e.ID, id)
		})
		x[i] = noEntry
		if ok {
			x[i] = uint16(j)
		}
	}
	return x
}

func (x index) at(i uint16) uint16 {
	if i == noEntry {
		return noEntry
	}
	return x[i]
}

// translate returns the list with the entries that remain.
func (x index) translate(l list) list {
	out, n := emptyList, 0
	for _, i := range l {
		if j := x.at(i); j != noEntry {
			out[n] = j
			n++
		}
	}
	return out
}

// Found is the answer of a Table: entry instances in order of preference.
type Found struct {
	table *Table
	list  list
	n     int
}

// Find returns the entries of a client block. It does not allocate.
func (t *Table) Find(b azurestair.ClientBlock) Found {
	f := Found{table: t, list: emptyList}
	if t == nil || t.lists == nil {
		return f
	}
	f.list = t.lists[mix(uint64(b))%NumSlots]
	for f.n < NumChoices && f.list[f.n] != noEntry {
		f.n++
	}
	return f
}

// Len returns the number of entries found.
func (f Found) Len() int { return f.n }

// At returns the i-th entry; the caller must not change it.
func (f Found) At(i int) *azurestair.InstanceInfo { return &f.table.entries[f.list[i]] }
