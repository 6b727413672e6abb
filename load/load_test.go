package load

import (
	"bufio"
	"context"
	"strings"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"azurestair.example/azurestair"
)

func TestLoad(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "load generator")
}

var _ = Describe("schedule", func() {
	// Guards against coordinated omission: a stalled fleet must not slow down
	// the generator, and the latency must include the wait since the due time.
	It("sends on time although no request is answered, and measures latency from the due time", func() {
		release := make(chan struct{})
		sent := make(chan int, 3)
		s, sample := Schedule{Rate: 1000, Duration: 3 * time.Millisecond}, NewSample()
		go s.Run(context.Background(), SenderFunc(func(_ context.Context, i int) Result {
			sent <- i
			<-release
			return Answered
		}), sample)
		for range s.Count() {
			Eventually(sent).Should(Receive())
		}
		close(release)
		Eventually(func() int { return sample.Count(Answered) }).Should(Equal(3))
		Expect(sample.Quantile(0)).To(BeNumerically(">", 0))
	})

	It("spaces arrivals evenly and bounds their number", func() {
		s := Schedule{Rate: 200, Duration: time.Second}
		Expect(s.Due(100)).To(Equal(500 * time.Millisecond))
		Expect(Schedule{Rate: 1e9, Duration: time.Minute}.Count()).To(Equal(maxArrivals))
	})
})

var _ = Describe("sample", func() {
	// Guards against refusals and failures that distort the latency figures.
	It("includes only answered requests in the latency", func() {
		s := NewSample()
		s.record(Answered, 10*time.Millisecond)
		s.record(Refused, time.Microsecond)
		s.record(Failed, time.Hour)
		Expect(s.Quantile(100)).To(BeNumerically("~", 10*time.Millisecond, 100*time.Microsecond))
		Expect(s.Share(Answered)).To(BeNumerically("~", 1.0/3, 1e-9))
	})
})

var _ = Describe("figures", func() {
	expectMet := func(b Bound, value float64, met bool) {
		GinkgoHelper()
		Expect(Figure{Bound: b, Value: value, Target: 5}.Met()).To(Equal(met))
	}

	It("are compared with the target in the direction of their bound", func() {
		expectMet(AtMost, 5, true)
		expectMet(AtMost, 6, false)
		expectMet(AtLeast, 5, true)
		expectMet(AtLeast, 4, false)
		expectMet(NoBound, 100, true)
	})
})

var _ = Describe("deployments", func() {
	// Guards against a deployment whose configuration the fleet would reject.
	It("have valid configurations", func() {
		for _, d := range Deployments() {
			c := d.Config()
			Expect(c.Validate()).To(Succeed(), d.Name)
		}
	})

	It("reject a fleet of an invalid size", func() {
		Expect(FleetOptions{Entries: 7, Controls: 3}.Validate()).To(Succeed())
		Expect(FleetOptions{Entries: MaxEntries + 1, Controls: 3}.Validate()).To(MatchError(azurestair.ErrInvalid))
		Expect(FleetOptions{Entries: 2, Controls: 3}.Validate()).To(MatchError(azurestair.ErrInvalid))
	})
})

var _ = Describe("counters of a process", func() {
	// Guards against command names with spaces and parentheses, which shift the
	// fields of /proc/PID/stat.
	It("include the processor time", func() {
		got, err := parseCPUTime([]byte("7 (a ) b) S 1 7 7 0 -1 0 0 0 0 0 150 50 0 0 20"))
		Expect(err).NotTo(HaveOccurred())
		Expect(got).To(Equal(2 * time.Second))
		_, err = parseCPUTime([]byte("7 (a) S 1"))
		Expect(err).To(MatchError(azurestair.ErrInvalid))
	})

	It("are found by the whole name of their field", func() {
		Expect(parseField([]byte("VmRSSx: 1\nVmRSS:\t  42 kB\n"), "VmRSS:")).To(Equal(int64(42)))
	})
})

var _ = Describe("lookup client", func() {
	It("reads consecutive responses from one connection", func() {
		r := bufio.NewReader(strings.NewReader("HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n{}HTTP/1.1 503 No\r\n\r\n"))
		Expect(readResponse(r)).To(Succeed())
		Expect(readResponse(r)).To(MatchError(azurestair.ErrInvalid))
	})
})
