package azurestair

import "time"

// ColdEnd returns when an upstream that is announced at now becomes warm, or zero if
// it is warm.
func (a Announcement) ColdEnd(now time.Time) time.Time {
	if a.ColdMs <= 0 {
		return time.Time{}
	}
	return now.Add(a.ColdMs.Duration())
}

// WithColdEnd returns the announcement with the cold time that remains at now. A cold
// upstream stays announced as cold after the end, until it says that it is warm.
func (a Announcement) WithColdEnd(end, now time.Time) Announcement {
	if a.ColdMs > 0 && !end.IsZero() {
		a.ColdMs = min(max(MillisOf(end.Sub(now)), 1), MaxTimeoutMs)
	}
	return a
}

// ColdTolerance is how far the ends of two announced cold times may differ if they
// are taken for the same one: announcements take differently long to arrive.
const ColdTolerance = 250 * time.Millisecond

// IsSameColdEnd reports whether two results of ColdEnd stand for the same end.
func IsSameColdEnd(a, b time.Time) bool {
	return a.IsZero() == b.IsZero() && a.Sub(b).Abs() <= ColdTolerance
}
