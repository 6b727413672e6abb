package instance

import (
	"context"

	"github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"azurestair.example/azurestair"
	"azurestair.example/azurestair/control"
)

// spreadingLeader answers queries for a departure with what it is given, the
// last of it for ever.
type spreadingLeader struct {
	fakeLedger
	answers []*control.DepartureStatus
	queries int
}

func (l *spreadingLeader) Query(context.Context, control.Query) (control.QueryResult, error) {
	at := min(l.queries, len(l.answers)-1)
	l.queries++
	return control.QueryResult{Departure: l.answers[at]}, nil
}

// Guards against an upstream that is told of its departure before the entries
// are, and against one that is never told under a leader of an earlier version.
var _ = ginkgo.Describe("the acknowledgement of a departure", func() {
	left := azurestair.Departure{Upstream: "w1", Incarnation: 3}
	waiting, held := &control.DepartureStatus{}, &control.DepartureStatus{Held: true}
	// expectAnswer departs with what the leader answers, in a context that ends
	// at once or never.
	expectAnswer := func(ends bool, want error, queries int, answers ...*control.DepartureStatus) {
		ginkgo.GinkgoHelper()
		l := &spreadingLeader{answers: answers}
		ctx, cancel := context.WithCancel(context.Background())
		defer cancel()
		if ends {
			cancel()
		}
		err := depart(ctx, l, left)
		if want == nil {
			Expect(err).NotTo(HaveOccurred())
		} else {
			Expect(err).To(MatchError(want))
		}
		Expect(l.queries).To(Equal(queries))
		Expect(l.state.Departures()).To(Equal([]azurestair.Departure{left}))
	}

	ginkgo.It("waits until the entries hold it", func() { expectAnswer(false, nil, 3, waiting, waiting, held) })
	ginkgo.It("comes at once when they do", func() { expectAnswer(false, nil, 1, held) })
	ginkgo.It("is refused when the time is over before", func() { expectAnswer(true, errNotHeld, 1, waiting) })
	ginkgo.It("comes from the log alone under a leader of an earlier version", func() { expectAnswer(false, nil, 1, nil) })

	ginkgo.It("is refused without a leader", func() {
		l := &spreadingLeader{}
		l.down = true
		Expect(depart(context.Background(), l, left)).To(MatchError(errDown))
		Expect(l.queries).To(BeZero())
	})
})
