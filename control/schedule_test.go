package control_test

import (
	"fmt"
	"math/rand/v2"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"azurestair.example/azurestair"
	"azurestair.example/azurestair/control"
)

// attempt is one claim of an entry instance as the entry sees it. An entry
// sends once, after a grant and before its deadline, and never once it gave up.
type attempt struct {
	claim    azurestair.Claim
	finished bool
}

// schedule runs entry instances against one state over a network that
// delays, reorders, duplicates and loses commands and results.
type schedule struct {
	rng      *rand.Rand
	now      azurestair.UnixMillis
	index    azurestair.Index
	state    *control.State
	network  []azurestair.Command
	attempts []*attempt
	numbers  map[azurestair.InstanceID]azurestair.Claim
	// granted is the last attempt that got a grant for a key.
	granted map[azurestair.RequestKey]azurestair.Claim
	// notRun is the last attempt that recorded notRun for a key since the last grant.
	notRun map[azurestair.RequestKey]azurestair.Claim
	runs   map[azurestair.RequestKey]int
}

func newSchedule(seed uint64) *schedule {
	return &schedule{
		rng: rand.New(rand.NewPCG(seed, 2)), now: epoch, state: &control.State{},
		numbers: map[azurestair.InstanceID]azurestair.Claim{},
		granted: map[azurestair.RequestKey]azurestair.Claim{},
		notRun:  map[azurestair.RequestKey]azurestair.Claim{}, runs: map[azurestair.RequestKey]int{},
	}
}

func (s *schedule) send(c azurestair.Command) {
	for range 1 + s.rng.IntN(3) {
		s.network = append(s.network, c)
	}
}

// begin starts an attempt under one of few keys; now and then the entry has restarted.
func (s *schedule) begin() {
	c := claim(fmt.Sprint("k", s.rng.IntN(3)), fmt.Sprint("i", s.rng.IntN(3)), 0)
	last := s.numbers[c.Instance]
	c.Incarnation, c.Attempt = last.Incarnation, last.Attempt+1
	if s.rng.IntN(10) == 0 {
		c.Incarnation, c.Attempt = last.Incarnation+1, 1
		s.forget(c.Instance)
	}
	c.Deadline = s.now + azurestair.UnixMillis(s.rng.IntN(4000))
	s.numbers[c.Instance] = c
	s.attempts = append(s.attempts, &attempt{claim: c})
	s.send(azurestair.Command{Claim: &c})
}

func (s *schedule) forget(i azurestair.InstanceID) {
	for _, a := range s.attempts {
		a.finished = a.finished || a.claim.Instance == i
	}
}

// deliver applies a random command of the network.
func (s *schedule) deliver() {
	if len(s.network) == 0 {
		return
	}
	n := s.rng.IntN(len(s.network))
	c := s.network[n]
	s.network = append(s.network[:n], s.network[n+1:]...)
	// Leaders' clocks differ by up to a second.
	c.At = s.now + azurestair.UnixMillis(s.rng.IntN(2000)-1000)
	s.index++
	r := s.state.Apply(s.index, c)
	switch {
	case c.Claim != nil && r.Code == azurestair.ResultGranted:
		s.checkGrant(*c.Claim)
		s.useGrant(*c.Claim)
	case c.Finish != nil && c.Finish.State == azurestair.ClaimNotRun &&
		(r.Code == azurestair.ResultAccepted || r.Code == azurestair.ResultNotFound):
		s.notRun[c.Finish.Key] = azurestair.Claim{
			Instance: c.Finish.Instance, Incarnation: c.Finish.Incarnation, Attempt: c.Finish.Attempt,
		}
	}
}

func sameAttempt(a, b azurestair.Claim) bool {
	return a.Instance == b.Instance && a.Incarnation == b.Incarnation && a.Attempt == b.Attempt
}

func (s *schedule) checkGrant(c azurestair.Claim) {
	GinkgoHelper()
	given, ok := s.notRun[c.Key]
	Expect(ok && sameAttempt(given, c)).To(BeFalse(), "key %s: grant to %s, which gave up", c.Key, name(c))
	if g, found := s.granted[c.Key]; found && !sameAttempt(g, c) {
		Expect(ok && sameAttempt(given, g)).To(BeTrue(),
			"key %s: grant to %s follows grant to %s without notRun", c.Key, name(c), name(g))
	}
	s.granted[c.Key] = c
	delete(s.notRun, c.Key)
}

func name(c azurestair.Claim) string {
	return fmt.Sprintf("%s/%d/%d", c.Instance, c.Incarnation, c.Attempt)
}

// useGrant hands the grant to its entry, unless the result is lost.
func (s *schedule) useGrant(c azurestair.Claim) {
	for _, a := range s.attempts {
		if !sameAttempt(a.claim, c) || a.finished || s.rng.IntN(4) == 0 || s.now > c.Deadline {
			continue
		}
		a.finished = true
		switch s.rng.IntN(4) {
		case 0:
			s.send(finish(c, azurestair.ClaimNotRun, nil))
		case 1:
			s.runs[c.Key]++
			s.send(finish(c, azurestair.ClaimUnknown, nil))
		default:
			s.runs[c.Key]++
			s.send(finish(c, azurestair.ClaimDone, []byte("x")))
		}
	}
}

// giveUp ends a random attempt that did not send.
func (s *schedule) giveUp() {
	a := s.attempts[s.rng.IntN(len(s.attempts))]
	if !a.finished {
		a.finished = true
		s.send(finish(a.claim, azurestair.ClaimNotRun, nil))
	}
}

func (s *schedule) run(steps int) {
	GinkgoHelper()
	s.begin()
	for range steps {
		s.now += azurestair.UnixMillis(s.rng.IntN(200))
		switch s.rng.IntN(10) {
		case 0, 1:
			s.begin()
		case 2:
			s.giveUp()
		case 3:
			if s.rng.IntN(20) == 0 {
				s.state = decode(encode(s.state))
			}
		default:
			s.deliver()
		}
	}
	for key, n := range s.runs {
		Expect(n).To(BeNumerically("<=", 1), "key %s ran %d times", key, n)
	}
}

// Guards against a payment or an order that runs twice: the ledger alone must
// exclude it, whatever the network and the entry instances do.
var _ = Describe("random schedules", func() {
	It("never grant a key to two attempts without notRun between them, nor run it twice", func() {
		for seed := range uint64(1000) {
			By(fmt.Sprint("seed ", seed))
			newSchedule(seed).run(300)
		}
	})
})
