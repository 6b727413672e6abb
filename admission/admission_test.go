package admission_test

import (
	"fmt"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"azurestair.example/azurestair"
	"azurestair.example/azurestair/admission"
)

func TestAdmission(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "admission")
}

const queueLimit = 512

func urgent(load float64) stream {
	return stream{name: "urgent", rank: azurestair.RankUrgent, callers: 20, load: load, serviceTime: 20 * time.Millisecond, timeout: 500 * time.Millisecond}
}

func interactive(load float64) stream {
	return stream{name: "interactive", rank: azurestair.RankInteractive, callers: 20, load: load, serviceTime: 20 * time.Millisecond, timeout: time.Second}
}

func deferred(load float64) stream {
	return stream{name: "deferred", rank: azurestair.RankDeferred, callers: 20, load: load, serviceTime: 50 * time.Millisecond, timeout: 10 * time.Second}
}

// compare runs the streams through an Admitter and through the FIFO baseline
// and logs both results.
func compare(slots int, streams ...stream) (got, baseline []*streamStats) {
	GinkgoHelper()
	const length = 20 * time.Second
	got = simulate(admission.New(admission.Options{QueueLimit: queueLimit}), slots, length, streams...)
	baseline = simulate(&fifo{limit: azurestair.NumRanks * queueLimit}, slots, length, streams...)
	for i, st := range streams {
		_, _ = fmt.Fprintf(GinkgoWriter, "slots=%d stream=%s load=%.2f admitter %s\n", slots, st.name, st.load, got[i])
		_, _ = fmt.Fprintf(GinkgoWriter, "slots=%d stream=%s load=%.2f baseline %s\n", slots, st.name, st.load, baseline[i])
	}
	return got, baseline
}

// expectFloor asserts that a stream that offers more than its floor gets its
// floor in slot time. It allows 5% for random arrivals and late requests.
func expectFloor(stats *streamStats, load float64, floor azurestair.Percent) {
	GinkgoHelper()
	Expect(stats.inTimeShare()*load).To(BeNumerically(">=", 0.95*float64(floor)/100), stats.String())
}

var _ = Describe("a flood", func() {
	// Guards against urgent and interactive requests that queue behind deferred
	// requests.
	DescribeTable("of deferred requests at 10 times capacity keeps urgent requests in time and leaves other ranks their floors",
		func(slots int) {
			got, _ := compare(slots, urgent(0.1), interactive(1), deferred(10))
			Expect(got[0].inTimeShare()).To(BeNumerically(">=", 0.999))
			expectFloor(got[1], 1, 20)
			expectFloor(got[2], 10, 10)
		},
		Entry("at 5 slots", 5), Entry("at 10 slots", 10), Entry("at 40 slots", 40),
	)

	// Guards against urgent requests that starve all other ranks.
	DescribeTable("of urgent requests at 10 times capacity leaves other ranks their floors",
		func(slots int) {
			got, _ := compare(slots, urgent(10), interactive(0.5), deferred(0.5))
			expectFloor(got[1], 0.5, 20)
			expectFloor(got[2], 0.5, 10)
		},
		Entry("at 1 slot", 1), Entry("at 2 slots", 2), Entry("at 5 slots", 5), Entry("at 40 slots", 40),
	)

	// Guards against urgent requests that must wait until long deferred
	// requests end.
	DescribeTable("of long deferred requests keeps urgent requests in time",
		func(slots int) {
			long := deferred(10)
			long.serviceTime, long.timeout = 2*time.Second, 30*time.Second
			got, _ := compare(slots, urgent(0.1), long)
			Expect(got[0].inTimeShare()).To(BeNumerically(">=", 0.999))
		},
		Entry("at 3 slots", 3), Entry("at 9 slots", 9), Entry("at 40 slots", 40),
	)

	// Guards against requests that start too late to meet their deadline.
	It("of requests with short timeouts starts few that miss their deadline", func() {
		short := deferred(10)
		short.timeout = 500 * time.Millisecond
		got, baseline := compare(40, short)
		started := got[0].late + got[0].inTime
		Expect(float64(got[0].late)).To(BeNumerically("<=", 0.15*float64(started)))
		Expect(got[0].late).To(BeNumerically("<", baseline[0].late/4))
	})
})

// Guards against a caller that takes the capacity of other callers.
var _ = DescribeTable("one caller at 100 times its fair share keeps the requests of other callers in time",
	func(slots int, service time.Duration) {
		const callers = 20
		// The fair share is relative to the slots that interactive requests may
		// use.
		a := admission.New(admission.Options{})
		a.SetSlots(azurestair.Slots(slots), epoch)
		fair := 1 - float64(a.Counts().Reserve)/float64(slots)
		others, greedy := interactive(0.9*fair*(callers-1)/callers), interactive(100*fair/callers)
		others.name, others.callers = "others", callers-1
		greedy.name, greedy.callers, greedy.serviceTime = "greedy", 1, service
		got, _ := compare(slots, others, greedy)
		Expect(got[0].inTimeShare()).To(BeNumerically(">=", 0.95))
	},
	Entry("at 1 slot", 1, 20*time.Millisecond),
	Entry("at 5 slots", 5, 20*time.Millisecond),
	Entry("at 40 slots", 40, 20*time.Millisecond),
	// Round robin over callers would let the greedy caller occupy most slots.
	Entry("with long requests at 40 slots", 40, 200*time.Millisecond),
)

// Guards against a caller that shares its bucket with a greedy caller
// indefinitely.
var _ = It("rehashes callers into other buckets after an interval", func() {
	streams := []stream{interactive(20)}
	streams[0].name, streams[0].callers = "greedy", 1
	for i := range 8 {
		st := interactive(0.05)
		st.name, st.callers = fmt.Sprintf("other%d", i), 1
		streams = append(streams, st)
	}
	worstShare := func(interval time.Duration) float64 {
		a := admission.New(admission.Options{QueueLimit: queueLimit, Buckets: 4, ResaltInterval: interval})
		worst := 1.0
		for _, stats := range simulate(a, 4, 40*time.Second, streams...)[1:] {
			worst = min(worst, stats.inTimeShare())
		}
		return worst
	}
	Expect(worstShare(time.Hour)).To(BeNumerically("<", 0.1), "no collision to resolve")
	Expect(worstShare(time.Second)).To(BeNumerically(">", 0.4))
})

var _ = Describe("a queued request", func() {
	var a *admission.Admitter
	work := azurestair.RequestInfo{Rank: azurestair.RankDeferred, Caller: "c", Deadline: epoch.Add(time.Second)}

	BeforeEach(func() {
		a = admission.New(admission.Options{ServiceTime: 100 * time.Millisecond})
	})

	expectEvent := func(now time.Time, want azurestair.AdmissionEvent) {
		GinkgoHelper()
		Expect(a.Events(now)).To(Equal([]azurestair.AdmissionEvent{want}))
		Expect(a.Events(now)).To(BeEmpty())
	}

	// Guards against queued requests that can no longer meet their deadline.
	It("is refused once less time than the expected service time is left", func() {
		a.Offer(1, work, epoch)
		refuseAt := work.Deadline.Add(-200 * time.Millisecond)
		Expect(a.NextDeadline()).To(Equal(refuseAt))
		Expect(a.Events(refuseAt.Add(-1))).To(BeEmpty())
		expectEvent(refuseAt, azurestair.AdmissionEvent{ID: 1, Admission: azurestair.Refused, Reason: azurestair.ReasonDeadline})
		Expect(a.NextDeadline()).To(BeZero())
	})

	// Guards against requests that stay queued after slots were added.
	It("is admitted when slots are added", func() {
		a.Offer(1, work, epoch)
		a.SetSlots(1, epoch)
		expectEvent(epoch, azurestair.AdmissionEvent{ID: 1, Admission: azurestair.Admitted})
	})

	// Guards against admission beyond a reduced number of slots while earlier
	// requests are still in progress.
	It("waits until fewer requests are in progress than a reduced number of slots", func() {
		a.SetSlots(2, epoch)
		a.Offer(1, work, epoch)
		a.Offer(2, work, epoch)
		a.SetSlots(1, epoch)
		a.Offer(3, work, epoch)
		a.Release(work, epoch)
		Expect(a.Events(epoch)).To(BeEmpty())
		a.Release(work, epoch)
		expectEvent(epoch, azurestair.AdmissionEvent{ID: 3, Admission: azurestair.Admitted})
	})

	// Guards against a flooding caller that fills the queue and shuts out other
	// callers.
	It("is displaced from a full queue by a caller with fewer requests", func() {
		a.Configure(azurestair.Defaults{QueueLimit: 2}, epoch)
		a.Offer(1, work, epoch)
		a.Offer(2, work, epoch)
		other := work
		other.Caller = "other"
		got, _ := a.Offer(3, other, epoch)
		Expect(got).To(Equal(azurestair.Queued))
		expectEvent(epoch, azurestair.AdmissionEvent{ID: 2, Admission: azurestair.Refused, Reason: azurestair.ReasonCallerShare})
		_, reason := a.Offer(4, work, epoch)
		Expect(reason).To(Equal(azurestair.ReasonCallerShare))
	})
})
