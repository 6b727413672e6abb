package upstream

import (
	"errors"
	"sync/atomic"
	"syscall"
)

// DialCounts holds the numbers of dials since the start.
type DialCounts struct {
	// Opened counts the successful dials.
	Opened int64
	// Refused counts the dials that the host of the upstream refused, and
	// Failed all others that failed.
	Refused, Failed int64
	// NotAttributed counts the failed dials, refused or not, that did not count
	// against the upstream.
	NotAttributed int64
}

// dialCounters counts dials. The zero value is ready to use.
type dialCounters struct{ opened, refused, failed, notAttributed atomic.Int64 }

// add counts a dial that ended with err.
func (d *dialCounters) add(err error, attributed bool) {
	switch {
	case err == nil:
		d.opened.Add(1)
		return
	case errors.Is(err, syscall.ECONNREFUSED):
		d.refused.Add(1)
	default:
		d.failed.Add(1)
	}
	if !attributed {
		d.notAttributed.Add(1)
	}
}

func (d *dialCounters) load() DialCounts {
	return DialCounts{Opened: d.opened.Load(), Refused: d.refused.Load(), Failed: d.failed.Load(), NotAttributed: d.notAttributed.Load()}
}
