package admission_test

import (
	"fmt"
	"testing"
	"time"

	"azurestair.example/azurestair"
	"azurestair.example/azurestair/admission"
)

func benchWork(i int) azurestair.RequestInfo {
	return azurestair.RequestInfo{Rank: azurestair.RankInteractive, Caller: benchCallers[i%len(benchCallers)], Deadline: epoch.Add(time.Hour)}
}

var benchCallers = func() []azurestair.CallerID {
	list := make([]azurestair.CallerID, 1_000)
	for i := range list {
		list[i] = azurestair.CallerID(fmt.Sprintf("10.%d.%d.0/24", i/250, i%250))
	}
	return list
}()

// BenchmarkEmptyQueue measures Offer and Release while slots are free.
func BenchmarkEmptyQueue(b *testing.B) {
	a := admission.New(admission.Options{})
	a.SetSlots(1_000, epoch)
	b.ReportAllocs()
	for i := range b.N {
		w := benchWork(i)
		a.Offer(azurestair.AdmissionID(i), w, epoch)
		a.Release(w, epoch)
	}
}

// BenchmarkFullQueue measures Offer to a full queue and Release, which admits
// the next queued request.
func BenchmarkFullQueue(b *testing.B) {
	a := admission.New(admission.Options{})
	a.SetSlots(100, epoch)
	for i := range 1_000 {
		a.Offer(azurestair.AdmissionID(i), benchWork(i), epoch)
	}
	b.ReportAllocs()
	for i := range b.N {
		w := benchWork(i)
		a.Offer(azurestair.AdmissionID(1_000+i), w, epoch)
		a.Release(w, epoch)
		a.Events(epoch)
	}
}

// BenchmarkRefusal measures Offer to a full queue without releases.
func BenchmarkRefusal(b *testing.B) {
	a := admission.New(admission.Options{})
	b.ReportAllocs()
	for i := range b.N {
		a.Offer(azurestair.AdmissionID(i), benchWork(i%7), epoch)
		a.Events(epoch)
	}
}
