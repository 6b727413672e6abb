package control_test

import (
	"fmt"
	"math/rand/v2"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"azurestair.example/azurestair"
)

// attempt is one claim as the entry instance sees it. An entry sends the
// request at most once, after a grant and before the deadline, and never after
// it has given up.
type attempt struct {
	claim    azurestair.Claim
	finished bool
}

// keyHistory records what happened to a key.
type keyHistory struct {
	// granted is the last attempt that got a grant. notRun is the last attempt
	// that recorded notRun since then.
	granted, notRun string
	runs            int
}

// schedule runs entry instances against one state over a network that delays,
// reorders, duplicates and loses commands and results.
type schedule struct {
	stateDriver
	rng        *rand.Rand
	network    []azurestair.Command
	attempts   []*attempt
	lastClaims map[azurestair.InstanceID]azurestair.Claim
	keys       map[azurestair.RequestKey]*keyHistory
}

func (s *schedule) send(c azurestair.Command) {
	for range 1 + s.rng.IntN(3) {
		s.network = append(s.network, c)
	}
}

// startAttempt starts an attempt with one of a few keys. Occasionally the entry
// has restarted and lost its attempts.
func (s *schedule) startAttempt() {
	c := claim(fmt.Sprint("k", s.rng.IntN(3)), fmt.Sprint("i", s.rng.IntN(3)), 0)
	c.Incarnation, c.Attempt = s.lastClaims[c.Instance].Incarnation, s.lastClaims[c.Instance].Attempt+1
	if s.rng.IntN(10) == 0 {
		c.Incarnation, c.Attempt = c.Incarnation+1, 1
		for _, a := range s.attempts {
			a.finished = a.finished || a.claim.Instance == c.Instance
		}
	}
	c.Deadline = s.at + azurestair.UnixMillis(s.rng.IntN(4000))
	s.lastClaims[c.Instance] = c
	s.attempts = append(s.attempts, &attempt{claim: c})
	s.send(azurestair.Command{Claim: &c})
}

// deliver applies a random command from the network. The clocks of leaders
// deviate from the simulated time by up to one second.
func (s *schedule) deliver() {
	if len(s.network) == 0 {
		return
	}
	n := s.rng.IntN(len(s.network))
	c := s.network[n]
	s.network = append(s.network[:n], s.network[n+1:]...)
	c.At = s.at + azurestair.UnixMillis(s.rng.IntN(2000)-1000)
	r := s.state.Apply(s.state.Applied()+1, c)
	if c.Claim != nil && r.Code == azurestair.ResultGranted {
		s.checkGrant(*c.Claim)
		s.consumeGrant(*c.Claim)
	}
	f := c.Completion
	if f != nil && f.State == azurestair.ClaimNotRun && (r.Code == azurestair.ResultAccepted || r.Code == azurestair.ResultNotFound) {
		s.key(f.Key).notRun = attemptName(f.Instance, f.Incarnation, f.Attempt)
	}
}

func attemptName(i azurestair.InstanceID, n azurestair.Incarnation, attempt uint64) string {
	return fmt.Sprintf("%s/%d/%d", i, n, attempt)
}

func (s *schedule) key(k azurestair.RequestKey) *keyHistory {
	if s.keys[k] == nil {
		s.keys[k] = &keyHistory{}
	}
	return s.keys[k]
}

func (s *schedule) checkGrant(c azurestair.Claim) {
	GinkgoHelper()
	h, name := s.key(c.Key), attemptName(c.Instance, c.Incarnation, c.Attempt)
	Expect(name).NotTo(Equal(h.notRun), "key %s: grant to an attempt that gave up", c.Key)
	if h.granted != "" && h.granted != name {
		Expect(h.notRun).To(Equal(h.granted), "key %s: grant to %s without notRun of the one before", c.Key, name)
	}
	h.granted, h.notRun = name, ""
}

// consumeGrant passes the grant to its entry, unless the result is lost.
func (s *schedule) consumeGrant(c azurestair.Claim) {
	for _, a := range s.attempts {
		if attemptName(a.claim.Instance, a.claim.Incarnation, a.claim.Attempt) != s.key(c.Key).granted || a.finished || s.rng.IntN(4) == 0 || s.at > c.Deadline {
			continue
		}
		a.finished = true
		states := []azurestair.ClaimState{azurestair.ClaimNotRun, azurestair.ClaimUnknown, azurestair.ClaimDone, azurestair.ClaimDone}
		state := states[s.rng.IntN(len(states))]
		if state != azurestair.ClaimNotRun {
			s.key(c.Key).runs++
		}
		s.send(finish(c, state, []byte("x")))
	}
}

// abandonAttempt ends a random attempt that has not sent its request.
func (s *schedule) abandonAttempt() {
	a := s.attempts[s.rng.IntN(len(s.attempts))]
	if !a.finished {
		a.finished = true
		s.send(finish(a.claim, azurestair.ClaimNotRun, nil))
	}
}

func (s *schedule) run(steps int) {
	GinkgoHelper()
	s.startAttempt()
	for range steps {
		s.at += azurestair.UnixMillis(s.rng.IntN(200))
		switch n := s.rng.IntN(200); {
		case n < 40:
			s.startAttempt()
		case n < 60:
			s.abandonAttempt()
		case n == 60:
			s.state = restore(s.state.Image())
		default:
			s.deliver()
		}
	}
	for key, h := range s.keys {
		Expect(h.runs).To(BeNumerically("<=", 1), "key %s", key)
	}
}

// Guards against a payment or an order that runs twice. The ledger alone must
// prevent it, whatever the network and the entry instances do.
var _ = Describe("random schedules", func() {
	It("never grant a key to two attempts without notRun between them, nor run it twice", func() {
		for seed := range uint64(1000) {
			By(fmt.Sprint("seed ", seed))
			s := &schedule{stateDriver: *newStateDriver(), rng: rand.New(rand.NewPCG(seed, 2))}
			s.lastClaims = map[azurestair.InstanceID]azurestair.Claim{}
			s.keys = map[azurestair.RequestKey]*keyHistory{}
			s.run(300)
		}
	})
})
