package control_test

import (
	"fmt"
	"math/rand/v2"
	"testing"

	"github.com/fxamacker/cbor/v2"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"azurestair.example/azurestair"
	"azurestair.example/azurestair/control"
)

// objectFleet is a leader with two entries that report object rates.
type objectFleet struct {
	registry  *control.Registry
	publisher *control.Publisher
	source    control.SnapshotSource
}

// spreadConfig returns a configuration with object plans.
func spreadConfig(version azurestair.ConfigVersion) *azurestair.Config {
	return &azurestair.Config{
		Version: version, Defaults: azurestair.Defaults{SpreadObjects: true},
		Services: []azurestair.Service{{Name: "catalogue"}}, Routes: make([]azurestair.Route, 1),
	}
}

func newObjectFleet() *objectFleet {
	f := &objectFleet{registry: &control.Registry{}, publisher: &control.Publisher{}}
	f.source = control.SnapshotSource{Term: 1, Config: spreadConfig(1), Registry: f.registry}
	announce(f.registry, 0, 1, 2)
	for n := 1; n <= 2; n++ {
		Expect(f.registry.UpdateInstance(entry(n), at(0))).To(Succeed())
	}
	f.publisher.Publish(f.source, at(0))
	return f
}

func objectNumber(n int) azurestair.ObjectKey { return azurestair.ObjectKeyOf(fmt.Sprint(n)) }

// report makes an entry report the rates of objects, in requests per second,
// whose requests take 0.2 s each.
func (f *objectFleet) report(n, ms int, rates map[int]float64) {
	GinkgoHelper()
	t := azurestair.ObjectTraffic{Service: "catalogue", Region: "kigali"}
	total := 0.0
	for object, rate := range rates {
		t.Objects = append(t.Objects, azurestair.ObjectRate{Object: objectNumber(object), Rate: azurestair.MilliPerSecond(rate * 1000)})
		total += rate
	}
	Expect(f.registry.UpdateInstance(entry(n), at(ms))).To(Succeed())
	f.registry.SetObjects(entry(n).ID, []azurestair.ObjectTraffic{t}, at(ms))
	f.registry.SetTraffic(entry(n).ID, []azurestair.Traffic{{
		Service: "catalogue", Rate: azurestair.PerSecond(total), MeanSlots: azurestair.MeanSlots(total / 5),
	}})
}

// run lets both entries report the same rates each second, and publishes.
func (f *objectFleet) run(from, to int, rates map[int]float64) {
	GinkgoHelper()
	for ms := from; ms < to; ms += 1000 {
		for n := 1; n <= 2; n++ {
			f.report(n, ms, rates)
		}
		f.publisher.Publish(f.source, at(ms))
	}
}

// demands returns the published demand of the objects.
func demands(s *azurestair.Snapshot) map[azurestair.ObjectKey]azurestair.MilliSlots {
	out := map[azurestair.ObjectKey]azurestair.MilliSlots{}
	for _, p := range s.Objects {
		for _, d := range p.Objects {
			out[d.Object] += d.Demand
		}
	}
	return out
}

// manyRates returns rates for n objects that fall with their number.
func manyRates(n int, highest float64) map[int]float64 {
	out := map[int]float64{}
	for i := range n {
		out[i] = highest / float64(i+1)
	}
	return out
}

var _ = Describe("object plans", func() {
	// Guards against a plan from which entries derive too few copies.
	It("hold the demand of all entries in slots", func() {
		f := newObjectFleet()
		f.run(1000, 9000, map[int]float64{1: 10, 2: 1})
		got := demands(f.publisher.Current())
		Expect(got).To(HaveLen(2))
		Expect(got[objectNumber(1)]).To(BeNumerically("~", 4000, 300))
		Expect(got[objectNumber(2)]).To(BeNumerically("~", 400, 30))
		for _, p := range f.publisher.Current().Objects {
			Expect(p.Validate()).To(Succeed())
		}
	})

	// Guards against one entry whose report makes all entries reject the
	// snapshot.
	It("are valid whatever an entry reports", func() {
		f := newObjectFleet()
		for ms := 1000; ms < 9000; ms += 1000 {
			for n := 1; n <= 2; n++ {
				f.report(n, ms, map[int]float64{1: 1e9, 2: 0})
				f.registry.SetTraffic(entry(n).ID, []azurestair.Traffic{{Service: "catalogue", Rate: 0.01, MeanSlots: 1e9}})
			}
			f.publisher.Publish(f.source, at(ms))
		}
		Expect(f.publisher.Current().Objects).To(HaveLen(1))
		Expect(f.publisher.Current().Objects[0].Validate()).To(Succeed())
	})

	// Guards against a delta to each entry for each small change.
	It("ignore small changes and follow large ones", func() {
		f := newObjectFleet()
		f.run(1000, 9000, map[int]float64{1: 10})
		before := f.publisher.Current().Revision
		f.run(9000, 30_000, map[int]float64{1: 11})
		Expect(f.publisher.Current().Revision).To(Equal(before))
		f.run(30_000, 40_000, map[int]float64{1: 30})
		Expect(demands(f.publisher.Current())[objectNumber(1)]).To(BeNumerically("~", 12_000, 1000))
	})

	// Guards against entries that spend their links on deltas.
	It("change at most once in 2 s", func() {
		f := newObjectFleet()
		changed := 0
		for ms := 1000; ms < 60_000; ms += 100 {
			if ms%1000 == 0 {
				f.report(1, ms, map[int]float64{ms: 100})
				Expect(f.registry.UpdateInstance(entry(2), at(ms))).To(Succeed())
			}
			before := fmt.Sprint(f.publisher.Current().Objects)
			f.publisher.Publish(f.source, at(ms))
			if fmt.Sprint(f.publisher.Current().Objects) != before {
				changed++
			}
		}
		Expect(changed).To(BeNumerically(">", 10))
		Expect(changed).To(BeNumerically("<=", 30))
	})

	// Guards against a snapshot whose size grows with the number of objects.
	It("are bounded and prefer frequent objects", func() {
		f := newObjectFleet()
		for block := range 10 {
			for n := 1; n <= 2; n++ {
				rates := map[int]float64{}
				for i := range 100 {
					rates[block*100+i] = 10 - float64(block)/2
				}
				f.report(n, 1000, rates)
			}
		}
		f.run(7000, 8000, nil)
		got := demands(f.publisher.Current())
		Expect(got).To(HaveLen(azurestair.MaxPlannedObjects))
		for i := range 200 {
			Expect(got).To(HaveKey(objectNumber(i)))
		}
	})

	// Guards against plans that hold objects for ever.
	It("drop objects that are no longer requested", func() {
		f := newObjectFleet()
		f.run(1000, 9000, map[int]float64{1: 10, 2: 1})
		f.run(9000, 40_000, map[int]float64{1: 10})
		Expect(demands(f.publisher.Current())).To(HaveLen(1))
	})

	// Guards against objects that become cold because the leader changes.
	It("are taken over by a new leader and kept until the entries have reported", func() {
		f := newObjectFleet()
		f.run(1000, 9000, manyRates(60, 10))
		before := f.publisher.Current()
		next := &objectFleet{registry: &control.Registry{}, publisher: &control.Publisher{}}
		next.source = control.SnapshotSource{Term: 2, Config: f.source.Config, Registry: next.registry}
		next.registry.Seed(before, at(9000))
		announce(next.registry, 9000, 1, 2)
		next.publisher.Publish(next.source, at(9000))
		Expect(next.publisher.Current().Objects).To(Equal(before.Objects))
		next.run(10_000, 14_000, manyRates(3, 10))
		Expect(next.publisher.Current().Objects).To(Equal(before.Objects))
		next.run(14_000, 40_000, manyRates(60, 10))
		Expect(demands(next.publisher.Current())).To(HaveLen(len(demands(before))))
	})

	// Guards against plans that stay in force after the operator has disabled
	// them.
	It("end with the setting", func() {
		f := newObjectFleet()
		f.run(1000, 9000, map[int]float64{1: 10})
		held := f.publisher.Current()
		off := *f.source.Config
		off.Version, off.Defaults.SpreadObjects = 2, false
		f.source.Config = &off
		f.publisher.Publish(f.source, at(9000))
		Expect(f.publisher.Current().Objects).To(BeEmpty())
		d, _ := f.publisher.Delta(1, held.Revision)
		s, err := control.ApplyDelta(held, d)
		Expect(err).NotTo(HaveOccurred())
		Expect(s.Objects).To(BeEmpty())
	})

	// Guards against a snapshot that entries refuse because it has plans of more
	// services than a configuration may.
	It("end with their service", func() {
		f := newObjectFleet()
		f.run(1000, 9000, map[int]float64{1: 10})
		Expect(f.publisher.Current().Objects).NotTo(BeEmpty())
		next := *f.source.Config
		next.Version, next.Services = 2, []azurestair.Service{{Name: "desk"}}
		f.source.Config = &next
		f.run(9000, 14_000, map[int]float64{1: 10})
		Expect(f.publisher.Current().Objects).To(BeEmpty())
	})

	// Guards against an entry whose plan differs from the one of others.
	It("are the same by delta as by snapshot", func() {
		f := newObjectFleet()
		source := rand.New(rand.NewPCG(1, 2))
		held := []*azurestair.Snapshot{f.publisher.Current()}
		for ms := 6000; ms < 120_000; ms += 4000 {
			rates := map[int]float64{}
			for range 30 {
				rates[source.IntN(60)] = 20 * source.Float64()
			}
			f.run(ms, ms+4000, rates)
			held = append(held, f.publisher.Current())
		}
		last := f.publisher.Current()
		Expect(demands(last)).NotTo(BeEmpty())
		for _, h := range held[:len(held)-1] {
			d, full := f.publisher.Delta(1, h.Revision)
			Expect(full).To(BeNil())
			Expect(d.Validate()).To(Succeed())
			s, err := control.ApplyDelta(h, d)
			Expect(err).NotTo(HaveOccurred())
			Expect(s.Objects).To(Equal(last.Objects))
		}
	})

	// Guards against messages that grow where object plans are not enabled.
	It("add no byte to messages without the setting", func() {
		f := newObjectFleet()
		off := *f.source.Config
		off.Version, off.Defaults.SpreadObjects = 2, false
		f.source.Config = &off
		f.run(1000, 20_000, manyRates(60, 10))
		for _, v := range []any{f.publisher.Current(), azurestair.SnapshotDelta{}, azurestair.Report{}} {
			data, err := cbor.Marshal(v)
			Expect(err).NotTo(HaveOccurred())
			var fields map[int]cbor.RawMessage
			Expect(cbor.Unmarshal(data, &fields)).To(Succeed())
			Expect(fields).NotTo(HaveKey(13))
			if _, ok := v.(*azurestair.Snapshot); ok {
				Expect(fields).NotTo(HaveKey(10))
			}
		}
	})

	// Guards against an entry with a link of 1.4 Mbit/s that spends more than a
	// tenth of a second on a delta with all objects.
	It("take less than 4 KB for 250 objects", func() {
		f := newObjectFleet()
		held := f.publisher.Current().Revision
		for block := range 10 {
			rates := map[int]float64{}
			for i := range 25 {
				rates[block*25+i] = 50 / float64(block*25+i+1)
			}
			f.report(1, 1000, rates)
		}
		f.run(7000, 8000, nil)
		Expect(demands(f.publisher.Current())).To(HaveLen(250))
		d, _ := f.publisher.Delta(1, held)
		Expect(encodedSize(azurestair.SnapshotDelta{Objects: d.Objects})).To(BeNumerically("<", 4096))
	})
})

func encodedSize(v any) int {
	GinkgoHelper()
	data, err := cbor.Marshal(v)
	Expect(err).NotTo(HaveOccurred())
	return len(data)
}

// BenchmarkObjectPlan measures a step of the object plans at the leader of 690
// entries that report 30 objects of each of three services, and the bytes of
// the messages.
func BenchmarkObjectPlan(b *testing.B) {
	RegisterFailHandler(func(message string, _ ...int) { b.Fatal(message) })
	r := &control.Registry{}
	source := rand.New(rand.NewPCG(1, 2))
	var report []azurestair.ObjectTraffic
	for n := range 690 {
		Expect(r.UpdateInstance(entry(n), at(0))).To(Succeed())
		report = nil
		for s := range 3 {
			t := azurestair.ObjectTraffic{Service: azurestair.ServiceName(fmt.Sprintf("service-%d", s)), Region: "kigali"}
			for range 30 {
				t.Objects = append(t.Objects, azurestair.ObjectRate{Object: objectNumber(source.IntN(261)), Rate: 100})
			}
			report = append(report, t)
		}
		r.SetObjects(entry(n).ID, report, at(0))
	}
	var planner control.ObjectPlanner
	plans := planner.Step(nil, r.ObjectRates(at(0)), nil, at(0))
	b.ResetTimer()
	for i := range b.N {
		plans = planner.Step(plans, r.ObjectRates(at(1)), nil, at(2000*(i+1)))
	}
	b.ReportMetric(float64(encodedSize(plans[0])), "B/plan")
	b.ReportMetric(float64(len(plans[0].Objects)), "objects")
	b.ReportMetric(float64(encodedSize(report)), "B/report")
}
