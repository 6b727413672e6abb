package instance

import (
	"context"

	"github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"azurestair.example/azurestair"
	"azurestair.example/azurestair/control"
)

// scriptedLeader answers queries for a departure with the given responses and
// repeats the last one.
type scriptedLeader struct {
	fakeLedger
	responses []*control.DepartureStatus
	queries   int
}

func (l *scriptedLeader) Query(context.Context, control.Query) (control.QueryResult, error) {
	at := min(l.queries, len(l.responses)-1)
	l.queries++
	return control.QueryResult{Departure: l.responses[at]}, nil
}

// Guards against acknowledging a departure to the upstream before the entries
// know of it, and against never acknowledging it under a leader of an earlier
// version.
var _ = ginkgo.Describe("the acknowledgement of a departure", func() {
	departure := azurestair.Departure{Upstream: "w1", Incarnation: 3}
	waiting, held := &control.DepartureStatus{}, &control.DepartureStatus{KnownToAll: true}
	// expectResponse sends a departure to a leader with the given responses.
	// The context is cancelled from the start if cancelled is true.
	expectResponse := func(cancelled bool, want error, queries int, responses ...*control.DepartureStatus) {
		ginkgo.GinkgoHelper()
		l := &scriptedLeader{responses: responses}
		ctx, cancel := context.WithCancel(context.Background())
		defer cancel()
		if cancelled {
			cancel()
		}
		err := depart(ctx, l, departure)
		if want == nil {
			Expect(err).NotTo(HaveOccurred())
		} else {
			Expect(err).To(MatchError(want))
		}
		Expect(l.queries).To(Equal(queries))
		Expect(l.state.Departures()).To(Equal([]azurestair.Departure{departure}))
	}

	ginkgo.It("waits until the entries hold it", func() { expectResponse(false, nil, 3, waiting, waiting, held) })
	ginkgo.It("is immediate when the entries already hold it", func() { expectResponse(false, nil, 1, held) })
	ginkgo.It("is refused if the context ends first", func() { expectResponse(true, errDepartureNotHeld, 1, waiting) })
	ginkgo.It("waits only for the log under a leader of an earlier version", func() { expectResponse(false, nil, 1, nil) })

	ginkgo.It("is refused without a leader", func() {
		l := &scriptedLeader{}
		l.down = true
		Expect(depart(context.Background(), l, departure)).To(MatchError(errUnreachable))
		Expect(l.queries).To(BeZero())
	})
})
