package quota

import (
	"cmp"
	"slices"
	"time"

	"azurestair.example/azurestair"
)

// counts are requests of an entry: those that used a token and those refused.
type counts struct {
	used, overLimit, unreachable azurestair.Tokens
}

func countsOf(d azurestair.QuotaDemand) counts {
	return counts{used: d.Used, overLimit: d.OverLimit, unreachable: d.Unreachable}
}

// since returns the requests that were not in earlier counts. A refunded token
// lowers a count.
func (c counts) since(before counts) counts {
	return counts{
		used: max(0, c.used-before.used), overLimit: max(0, c.overLimit-before.overLimit),
		unreachable: max(0, c.unreachable-before.unreachable),
	}
}

// usage is what the entries report of a workspace.
type usage struct {
	total    counts
	admitted meter
}

func (u *usage) observe(c counts, now time.Time) {
	u.admitted.add(c.used, now)
	u.total.used += c.used
	u.total.overLimit += c.overLimit
	u.total.unreachable += c.unreachable
}

// Status returns the state of all workspaces with a limit, sorted by name.
func (i *Issuer) Status(now time.Time) []azurestair.QuotaStatus {
	var all []azurestair.QuotaStatus
	for name, b := range i.buckets {
		if !b.limited {
			continue
		}
		b.advance(now, i.quietUntil)
		all = append(all, azurestair.QuotaStatus{
			Workspace: name, Limit: azurestair.PerSecond(b.rate), Rate: b.usage.admitted.rate(now),
			Leased: b.outstanding, Available: azurestair.Tokens(b.level), Admitted: b.usage.total.used,
			OverLimit: b.usage.total.overLimit, Unreachable: b.usage.total.unreachable,
		})
	}
	slices.SortFunc(all, func(x, y azurestair.QuotaStatus) int { return cmp.Compare(x.Workspace, y.Workspace) })
	return all
}

// meterWindow is the length of a window of a meter.
const meterWindow = time.Second

// meter estimates the rate of the last second from the counts of the current
// window and of the one before it.
type meter struct {
	start             time.Time
	current, previous azurestair.Tokens
}

func (m *meter) roll(now time.Time) {
	switch d := now.Sub(m.start); {
	case d < meterWindow:
	case d < 2*meterWindow:
		m.previous, m.current, m.start = m.current, 0, m.start.Add(meterWindow)
	default:
		m.previous, m.current, m.start = 0, 0, now
	}
}

func (m *meter) add(n azurestair.Tokens, now time.Time) {
	m.roll(now)
	m.current += n
}

func (m *meter) rate(now time.Time) azurestair.PerSecond {
	m.roll(now)
	left := 1 - min(1, now.Sub(m.start).Seconds())
	return azurestair.PerSecond(float64(m.current) + float64(m.previous)*left)
}
