package lookup

import (
	"cmp"
	"slices"

	"azurestair.example/azurestair"
)

// Table maps client blocks to entry instances. It is immutable. The zero value
// has no entries.
type Table struct {
	entries []azurestair.InstanceInfo
	slots   *[NumSlots]choices
	plan    *plan
}

// Entries holds the instances from which a table is built.
type Entries struct {
	// Live lists the ready entry instances, including drained ones.
	Live []azurestair.InstanceInfo
	// Drained contains the live instances that an operator has drained.
	Drained map[azurestair.InstanceID]bool
}

// EntriesOf returns the entries of a snapshot: the instances that are ready and
// have an address for callers.
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

// Build returns the table that follows prev, which may be nil, and reports
// whether it matches the plan. Entries that are no longer live are replaced
// immediately. After a join, a drain or the end of a drain, one call changes
// the first choice of at most move percent of the slots, and the caller repeats
// the call once per interval until done is true. If all live entries are
// drained, they stay in use. If nothing has changed, Build returns prev itself.
func Build(prev *Table, e Entries, move azurestair.Percent) (next *Table, done bool) {
	live := slices.Clone(e.Live)
	slices.SortFunc(live, func(a, b azurestair.InstanceInfo) int { return cmp.Compare(a.ID, b.ID) })
	p := planFor(prev, planMembers(live, e.Drained))
	if prev.matchesPlan(p, live) {
		return prev, true
	}
	next = &Table{entries: live, slots: new([NumSlots]choices), plan: p}
	target := newPositionMap(live, len(p.members), func(i int) azurestair.InstanceID { return p.members[i].id })
	if prev == nil || prev.slots == nil {
		for slot := range next.slots {
			next.slots[slot] = target.translate(p.slots[slot])
		}
		return next, true
	}
	current := newPositionMap(live, len(prev.entries), func(i int) azurestair.InstanceID { return prev.entries[i].ID })
	return next, next.moveTowardsPlan(prev, current, target, move.Of(NumSlots))
}

// moveTowardsPlan sets each slot to its planned choices. Once the given number
// of moves is used up, a slot whose first choice in prev is live but not the
// planned one keeps that first choice in front. It reports whether all slots
// match the plan.
func (t *Table) moveTowardsPlan(prev *Table, current, target positionMap, moves int) bool {
	done := true
	for slot := range t.slots {
		kept, planned := current.translate(prev.slots[slot]), target.translate(t.plan.slots[slot])
		first := current.position(prev.slots[slot][0])
		switch {
		case first == noEntry || first == planned[0]:
			t.slots[slot] = planned
		case moves > 0:
			moves--
			t.slots[slot] = planned
		default:
			done = false
			t.slots[slot] = prepend(kept[0], planned)
		}
	}
	return done
}

// matchesPlan reports whether the table has these entries and all its slots
// match the plan.
func (t *Table) matchesPlan(p *plan, live []azurestair.InstanceInfo) bool {
	if t == nil || t.slots == nil || t.plan != p || !slices.Equal(t.entries, live) {
		return false
	}
	target := newPositionMap(live, len(p.members), func(i int) azurestair.InstanceID { return p.members[i].id })
	for slot := range t.slots {
		if t.slots[slot] != target.translate(p.slots[slot]) {
			return false
		}
	}
	return true
}

// prepend returns the choices with first in front, truncated to MaxChoices.
func prepend(first uint16, c choices) choices {
	out, n := noChoices, 1
	out[0] = first
	for _, i := range c {
		if i != first && i != noEntry && n < MaxChoices {
			out[n] = i
			n++
		}
	}
	return out
}

// planMembers returns the members of the plan: the live entries that are not
// drained, or all live entries if all are drained.
func planMembers(live []azurestair.InstanceInfo, drained map[azurestair.InstanceID]bool) []member {
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

// planFor returns the plan for the members, reusing that of prev if its members
// are the same.
func planFor(prev *Table, members []member) *plan {
	if prev != nil && prev.plan != nil && slices.Equal(prev.plan.members, members) {
		return prev.plan
	}
	return newPlan(members)
}

// positionMap maps indices into an older list of entries to indices into a
// newer one. Entries that have been removed map to noEntry.
type positionMap []uint16

func newPositionMap(live []azurestair.InstanceInfo, n int, id func(int) azurestair.InstanceID) positionMap {
	m := make(positionMap, n)
	for i := range m {
		j, ok := slices.BinarySearchFunc(live, id(i), func(e azurestair.InstanceInfo, id azurestair.InstanceID) int {
			return cmp.Compare(e.ID, id)
		})
		m[i] = noEntry
		if ok {
			m[i] = uint16(j)
		}
	}
	return m
}

func (m positionMap) position(i uint16) uint16 {
	if i == noEntry {
		return noEntry
	}
	return m[i]
}

// translate returns the choices as indices into the newer list, without removed
// entries.
func (m positionMap) translate(c choices) choices {
	out, n := noChoices, 0
	for _, i := range c {
		if j := m.position(i); j != noEntry {
			out[n] = j
			n++
		}
	}
	return out
}

// Result is the result of Find: entry instances in order of preference.
type Result struct {
	table   *Table
	choices choices
	count   int
}

// Find returns the entries of a client block. It does not allocate.
func (t *Table) Find(b azurestair.ClientBlock) Result {
	r := Result{table: t, choices: noChoices}
	if t == nil || t.slots == nil {
		return r
	}
	r.choices = t.slots[mix64(uint64(b))%NumSlots]
	for r.count < MaxChoices && r.choices[r.count] != noEntry {
		r.count++
	}
	return r
}

// Len returns the number of entries.
func (r Result) Len() int { return r.count }

// At returns the i-th entry. The caller must not modify it.
func (r Result) At(i int) *azurestair.InstanceInfo { return &r.table.entries[r.choices[i]] }
