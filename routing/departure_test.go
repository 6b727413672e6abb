package routing_test

import (
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"azurestair.example/azurestair"
	"azurestair.example/azurestair/routing"
)

// Guards against requests to an upstream that has left: the leader lists it as
// draining under the sequence of its last announcement.
var _ = DescribeTable("a departed upstream gets no more requests", func(sequence azurestair.Sequence) {
	list := upstreams("x", 2, 9)
	list[0].Announcement.Sequence = 5
	h := newHarness(routing.Options{}, list...)
	list[0].Announcement.State, list[0].Announcement.Sequence = azurestair.StateDraining, sequence
	h.set(list...)
	for range 9 {
		Expect(h.pick().Upstream).To(BeEquivalentTo("x-1"))
	}
},
	Entry("that has announced it", azurestair.Sequence(6)),
	Entry("for which another party has reported it", azurestair.Sequence(5)),
)
