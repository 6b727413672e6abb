package instance

import (
	"time"

	"github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"azurestair.example/azurestair"
)

const (
	coldStep     = 100 * time.Millisecond
	coldBeat     = 1500 * time.Millisecond
	coldTestTime = 16 * time.Second
	// picksPerStep is how many requests each entry tries to send in a step.
	picksPerStep = 6
	// coldRate is what the upstream tolerates while it is cold, and coldLimit what it
	// may get in a second.
	coldRate  = 11
	coldLimit = coldRate*1.5 + 5
	// warmDelay is how long after its cold time an upstream may be taken for cold.
	warmDelay = 2*azurestair.ColdTolerance + 2*coldStep
)

// coldPeriod makes an upstream cold from a time on.
type coldPeriod struct{ at, length time.Duration }

// coldFleet is a fleet with one upstream that becomes cold at given times. All times
// are since the start.
type coldFleet struct {
	*spreadFleet
	entries []*memberFixture
	now     time.Duration
	// coldSince and coldUntil bound the cold time of the upstream.
	coldSince, coldUntil time.Duration
	sequence             azurestair.Sequence
	// sent holds the times of the requests that reached the cold upstream.
	sent []time.Duration
}

func newColdFleet() *coldFleet {
	f := newRoutedFleet(azurestair.Service{Name: "desk", ColdMs: 3000, ColdPerSecond: coldRate}, azurestair.Defaults{})
	return &coldFleet{spreadFleet: f, entries: []*memberFixture{f.entry}}
}

// announce passes the announcement of the upstream to the first entry.
func (f *coldFleet) announce() {
	ginkgo.GinkgoHelper()
	f.sequence++
	a := testAnnouncement(f.sequence)
	a.Service, a.Slots, a.ColdMs = "desk", 1000, azurestair.MillisOf(max(0, f.coldUntil-f.now))
	_ = f.entry.announce(a, f.entry.clock.Now())
}

// step announces the upstream if it is time to, lets all entries report and send
// requests, and lets a step pass.
func (f *coldFleet) step(periods []coldPeriod) {
	ginkgo.GinkgoHelper()
	isNews := false
	for _, p := range periods {
		if p.at == f.now {
			f.coldSince, f.coldUntil, isNews = f.now, f.now+p.length, true
		}
	}
	if isNews || f.now%coldBeat == 0 {
		f.announce()
	}
	for _, m := range f.entries {
		f.exchange(m)
	}
	// The first entry reports the upstream, so the others know of it from now on.
	for _, m := range f.entries {
		f.exchange(m)
		f.send(m)
	}
	f.leader.run(1)
	f.now += coldStep
	for _, m := range f.entries {
		m.clock.advance(coldStep - 2*minReportInterval)
	}
}

// send lets an entry send requests as fast as it may.
func (f *coldFleet) send(m *memberFixture) {
	ginkgo.GinkgoHelper()
	d, n := m.entry.allDispatchers()["desk"], 0
	for range picksPerStep {
		if c, err := d.pick(azurestair.RequestInfo{Service: "desk", Rank: azurestair.RankInteractive}, nil); err == nil {
			d.finishAttempt(c, azurestair.AttemptDone, time.Millisecond)
			n++
		}
	}
	if f.now >= f.coldUntil+warmDelay {
		Expect(n).To(Equal(picksPerStep), "at %v, though warm since %v", f.now, f.coldUntil)
	}
	for range n {
		if f.now < f.coldUntil {
			f.sent = append(f.sent, f.now)
		}
	}
}

// mostInASecond returns the largest number of requests within a second of the cold
// time that began last.
func (f *coldFleet) mostInASecond() int {
	n := 0
	for _, at := range f.sent {
		if at > f.now-time.Second && at >= f.coldSince {
			n++
		}
	}
	return n
}

// Guards against upstreams that are flooded because a further cold time is taken for
// a repetition of the first one, on the way from the upstream to the pickers, and
// against upstreams that stay limited after they have become warm.
var _ = ginkgo.DescribeTable("all entries limit an upstream while it is cold", func(joinAt time.Duration, periods ...coldPeriod) {
	f := newColdFleet()
	for f.now < coldTestTime {
		if f.now == joinAt {
			f.entries = append(f.entries, newRoutedEntry())
		}
		f.step(periods)
		Expect(f.mostInASecond()).To(BeNumerically("<=", coldLimit), "at %v, cold from %v to %v", f.now, f.coldSince, f.coldUntil)
	}
},
	ginkgo.Entry("once", time.Duration(0), seconds(0, 3)),
	ginkgo.Entry("once, for the longest time allowed", time.Duration(0), coldPeriod{length: azurestair.MaxTimeoutMs.Duration()}),
	ginkgo.Entry("again before the end, for as long", time.Duration(0), seconds(0, 3), seconds(2.5, 3)),
	ginkgo.Entry("again before the end, for less", time.Duration(0), seconds(0, 3), seconds(2.5, 1.5)),
	ginkgo.Entry("again before the end, for longer", time.Duration(0), seconds(0, 3), seconds(2.5, 5)),
	ginkgo.Entry("again after the end", time.Duration(0), seconds(0, 3), seconds(3.3, 3)),
	ginkgo.Entry("in series", time.Duration(0), seconds(0, 3), seconds(2, 3), seconds(4, 3), seconds(6, 3)),
	ginkgo.Entry("again and again for a little longer", time.Duration(0),
		seconds(0, 3), seconds(0.2, 3), seconds(0.4, 3), seconds(0.6, 3), seconds(0.8, 3), seconds(1, 3), seconds(1.2, 3), seconds(1.4, 3)),
	ginkgo.Entry("for less than it said", time.Duration(0), seconds(0, 3), seconds(0.5, 0.5)),
	ginkgo.Entry("once, with an entry that starts meanwhile", 2*time.Second, seconds(0, 3)),
	ginkgo.Entry("again, with an entry that starts before", 2*time.Second, seconds(0, 3), seconds(2.5, 3)),
	ginkgo.Entry("again, with an entry that starts after", 3*time.Second, seconds(0, 3), seconds(2.5, 3)),
	ginkgo.Entry("again for less, with an entry that starts after", 3*time.Second, seconds(0, 3), seconds(2.5, 1.5)),
)

func seconds(at, length float64) coldPeriod {
	return coldPeriod{at: time.Duration(at * float64(time.Second)), length: time.Duration(length * float64(time.Second))}
}
