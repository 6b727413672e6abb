package control_test

import (
	"fmt"
	"math/rand/v2"

	"github.com/fxamacker/cbor/v2"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"azurestair.example/azurestair"
	"azurestair.example/azurestair/control"
)

const epoch azurestair.UnixMillis = 1_800_000_000_000

// stateDriver applies commands at consecutive log indexes.
type stateDriver struct {
	state *control.State
	at    azurestair.UnixMillis
}

func newStateDriver() *stateDriver { return &stateDriver{state: &control.State{}, at: epoch} }

func (d *stateDriver) apply(c azurestair.Command) azurestair.Result {
	c.At = d.at
	return d.state.Apply(d.state.Applied()+1, c)
}

func (d *stateDriver) expect(c azurestair.Command, code azurestair.ResultCode) azurestair.Result {
	GinkgoHelper()
	r := d.apply(c)
	Expect(r.Code).To(Equal(code), "detail %q", r.Detail)
	return r
}

func change(id string) azurestair.Change {
	return azurestair.Change{ID: azurestair.ChangeID(id), Operator: "ada", Reason: "test"}
}

func configChange(id string, base azurestair.ConfigVersion, queue int) azurestair.Command {
	c := azurestair.Config{Defaults: azurestair.Defaults{QueueLimit: queue}}
	return azurestair.Command{Config: &azurestair.ConfigChange{Change: change(id), BaseVersion: base, Config: c}}
}

func drainChange(id, name string, drained bool) azurestair.Command {
	target := azurestair.Target{Kind: azurestair.TargetUpstream, Name: name}
	return azurestair.Command{Drain: &azurestair.DrainChange{Change: change(id), Target: target, Drained: drained}}
}

var _ = Describe("configuration", func() {
	var d *stateDriver
	BeforeEach(func() { d = newStateDriver() })

	// Guards against an operator who overwrites a change without having seen
	// it.
	It("answers a stale base with the current version and the difference", func() {
		Expect(d.state.Config()).To(Equal(&azurestair.Config{}))
		Expect(d.expect(configChange("a", 0, 10), azurestair.ResultAccepted).Version).To(BeEquivalentTo(1))
		d.expect(configChange("b", 1, 20), azurestair.ResultAccepted)
		r := d.expect(configChange("c", 1, 30), azurestair.ResultConflict)
		Expect(r.Version).To(BeEquivalentTo(2))
		Expect(r.Diff).To(Equal([]string{"defaults.queueLimit: 10 -> 20"}))
		d.expect(configChange("d", 9, 30), azurestair.ResultConflict)
		Expect(d.state.Config().Defaults.QueueLimit).To(Equal(20))
	})

	// Guards against refusing the resend of a fleet's first change: the leader
	// adds an id of the fleet to it, which the resend lacks.
	It("repeats the first result to a resend of the first change", func() {
		first := configChange("a", 0, 10)
		first.Fleet = "f1"
		r := d.expect(first, azurestair.ResultAccepted)
		Expect(d.apply(configChange("a", 0, 10))).To(Equal(r))
	})

	// Guards against a lost response after which the resend applies a second
	// change or conflicts with the first.
	It("repeats the first result to a resend", func() {
		first := d.expect(configChange("a", 0, 10), azurestair.ResultAccepted)
		conflict := d.expect(configChange("b", 0, 11), azurestair.ResultConflict)
		d.expect(configChange("c", 1, 20), azurestair.ResultAccepted)
		Expect(d.apply(configChange("a", 0, 10))).To(Equal(first))
		Expect(d.apply(configChange("b", 0, 11))).To(Equal(conflict))
		d.expect(configChange("a", 0, 12), azurestair.ResultInvalid)
		Expect(d.state.Config().Version).To(BeEquivalentTo(2))
	})

	It("rejects an invalid configuration and records the attempt", func() {
		d.expect(configChange("a", 0, -1), azurestair.ResultInvalid)
		Expect(d.state.Config().Version).To(BeZero())
		Expect(d.state.Audit(control.AuditQuery{})[0].Result).To(Equal(azurestair.ResultInvalid))
		d.expect(configChange("a", 0, 1), azurestair.ResultAccepted)
	})

	// Guards against unbounded memory use, and against limits that drop the
	// newest items.
	It("limits history, audit trail and change records, dropping the oldest first", func() {
		for i := range control.MaxChanges + 1 {
			d.expect(configChange(fmt.Sprint("c", i), azurestair.ConfigVersion(i), 1), azurestair.ResultAccepted)
		}
		h := d.state.History()
		Expect(h).To(HaveLen(control.MaxHistory))
		Expect(h[len(h)-1].Config).To(BeIdenticalTo(d.state.Config()))
		Expect(d.state.Image().Audit).To(HaveLen(control.MaxAudit))
		d.expect(configChange("c1", 1, 1), azurestair.ResultAccepted)
		r := d.expect(configChange("c0", 0, 1), azurestair.ResultConflict)
		Expect(r.Version).To(BeEquivalentTo(control.MaxChanges + 1))
	})

	It("names each kind of difference", func() {
		operation := azurestair.Operation{Name: "o", TimeoutMs: 5}
		after := &azurestair.Config{Services: []azurestair.Service{{Name: "s", Operations: []azurestair.Operation{operation}}}}
		Expect(control.Diff(&azurestair.Config{Regions: []azurestair.Region{{Name: "r1"}}}, after)).To(Equal([]string{
			"operation s/o: added (rank=deferred idempotent=false timeoutMs=5 maxBodyBytes=0)",
			"region r1: removed (was failureDomains=[])",
		}))
	})
})

var _ = Describe("state", func() {
	It("lists drained targets in the order of their names", func() {
		d := newStateDriver()
		d.expect(drainChange("a", "u2", true), azurestair.ResultAccepted)
		held := d.state.Drains()
		d.expect(drainChange("b", "u1", true), azurestair.ResultAccepted)
		d.expect(drainChange("c", "u1", true), azurestair.ResultUnchanged)
		Expect(d.state.Drains()[0].Target.Name).To(Equal("u1"))
		d.expect(drainChange("d", "u2", false), azurestair.ResultAccepted)
		d.expect(drainChange("a", "u2", true), azurestair.ResultAccepted)
		Expect(d.state.Drains()).To(HaveLen(1))
		Expect(held).To(HaveLen(1), "a list that was returned must not change")
	})

	It("finds audit records by time, operator and limit, newest first", func() {
		d := newStateDriver()
		for i := range 5 {
			d.at = epoch.Add(azurestair.Millis(i))
			d.expect(drainChange(fmt.Sprint(i), "u1", i%2 == 0), azurestair.ResultAccepted)
		}
		member := &azurestair.MemberChange{Change: change("m"), Action: azurestair.MemberRemove, Instance: "i1"}
		member.Change.Operator = "bob"
		d.expect(azurestair.Command{Members: member}, azurestair.ResultAccepted)
		found := d.state.Audit(control.AuditQuery{From: epoch + 1, To: epoch + 4, Operator: "ada", Limit: 2})
		Expect(found).To(HaveLen(2))
		Expect(found[0].ChangeID).To(BeEquivalentTo("3"))
		Expect(d.state.Audit(control.AuditQuery{Operator: "bob"})).To(ConsistOf(HaveField("Action", "remove i1")))
	})

	// Guards against a second application after a restart from a snapshot.
	It("applies all commands of an entry once", func() {
		var s control.State
		r := s.ApplyBatch(5, []azurestair.Command{configChange("a", 0, 1), configChange("b", 1, 2)})
		Expect(r[1].Version).To(BeEquivalentTo(2))
		Expect(s.Apply(5, configChange("c", 2, 1)).Code).To(Equal(azurestair.ResultUnchanged))
		Expect(s.ApplyBatch(6, nil)).To(BeEmpty())
		Expect(s.Applied()).To(BeEquivalentTo(6))
		Expect(s.Config().Version).To(BeEquivalentTo(2))
	})
})

// roundTrip encodes and decodes a value, as the log and its snapshots do.
func roundTrip[T any](v T) T {
	GinkgoHelper()
	var decoded T
	data, err := cbor.Marshal(v)
	Expect(err).NotTo(HaveOccurred())
	Expect(cbor.Unmarshal(data, &decoded)).To(Succeed())
	return decoded
}

func restore(image control.Image) *control.State {
	GinkgoHelper()
	s, err := control.FromImage(roundTrip(image))
	Expect(err).NotTo(HaveOccurred())
	return s
}

// randomCommand draws a command from a small space, so that keys and ids recur.
func randomCommand(rng *rand.Rand, s *control.State) azurestair.Command {
	id := fmt.Sprint("c", rng.IntN(60))
	c := claim(fmt.Sprint("k", rng.IntN(30)), fmt.Sprint("i", rng.IntN(3)), uint64(rng.IntN(3)))
	switch n := rng.IntN(10); n {
	case 0:
		c := configChange(id, s.Config().Version-azurestair.ConfigVersion(rng.IntN(2)), rng.IntN(9))
		c.ListsHolders = true
		return c
	case 1:
		return drainChange(id, fmt.Sprint("u", rng.IntN(4)), rng.IntN(2) == 0)
	case 2, 3, 4:
		return finish(c, []azurestair.ClaimState{azurestair.ClaimDone, azurestair.ClaimNotRun, azurestair.ClaimUnknown}[n-2], []byte(id))
	case 5:
		return azurestair.Command{HolderChange: &azurestair.HolderChange{Instance: c.Instance, Removed: rng.IntN(2) == 0}}
	default:
		return azurestair.Command{Claim: &c}
	}
}

var _ = Describe("image", func() {
	// Guards against state that a snapshot omits, which only a later command
	// would reveal, and against an image that later commands modify.
	DescribeTable("restores a state that continues like the original",
		func(seed uint64) {
			rng := rand.New(rand.NewPCG(seed, 1))
			d, other := newStateDriver(), newStateDriver()
			image, copied := d.state.Image(), control.Image{}
			for step := range 3000 {
				d.at += azurestair.UnixMillis(rng.IntN(20_000))
				other.at = d.at
				if step%250 == 0 {
					Expect(roundTrip(image)).To(Equal(copied))
					image = d.state.Image()
					copied = roundTrip(image)
					other.state = restore(image)
				}
				c := roundTrip(randomCommand(rng, d.state))
				Expect(other.apply(c)).To(Equal(d.apply(c)))
			}
			Expect(other.state.Image()).To(Equal(d.state.Image()))
		},
		Entry(nil, uint64(1)), Entry(nil, uint64(2)), Entry(nil, uint64(3)),
	)

	DescribeTable("is rejected when malformed",
		func(corrupt func(*control.Image)) {
			d := newStateDriver()
			c := claim("k", "i1", 1)
			d.expect(azurestair.Command{Claim: &c}, azurestair.ResultGranted)
			d.expect(configChange("a", 0, 1), azurestair.ResultAccepted)
			image := d.state.Image()
			corrupt(&image)
			_, err := control.FromImage(image)
			Expect(err).To(MatchError(azurestair.ErrInvalid))
		},
		Entry("key twice", func(i *control.Image) { i.Ledger = append(i.Ledger, i.Ledger[0]) }),
		Entry("missing record", func(i *control.Image) { i.Ledger[0][0] = nil }),
		Entry("change twice", func(i *control.Image) { i.Changes = append(i.Changes, i.Changes[0]) }),
		Entry("version twice in the history", func(i *control.Image) { i.History = append(i.History, i.History[0]) }),
		Entry("holders out of order", func(i *control.Image) { i.Holders = holderList("b", "a") }),
		Entry("too many drains", func(i *control.Image) { i.Drains = make([]azurestair.Drain, control.MaxDrains+1) }),
	)
})
