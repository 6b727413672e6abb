package control_test

import (
	"fmt"
	"testing"

	"github.com/fxamacker/cbor/v2"

	"azurestair.example/azurestair"
	"azurestair.example/azurestair/control"
)

// applyDone applies a claim and its finish at a time that lies timeout before
// the claim's deadline.
func applyDone(s *control.State, c azurestair.Claim, body []byte) {
	at := c.Deadline.Add(-timeout)
	f := finish(c, azurestair.ClaimDone, body)
	f.At = at
	s.Apply(s.Applied()+1, azurestair.Command{At: at, Claim: &c})
	s.Apply(s.Applied()+1, f)
}

// BenchmarkClaim advances the time so that the ledger stays about half full.
func BenchmarkClaim(b *testing.B) {
	s := &control.State{}
	b.ReportAllocs()
	for i := 0; b.Loop(); i++ {
		c := claim(fmt.Sprint("order-", i), "i1", uint64(i))
		c.Deadline += azurestair.UnixMillis(i) * 40
		applyDone(s, c, make([]byte, 200))
	}
	b.ReportMetric(float64(b.N)/b.Elapsed().Seconds(), "claims/s")
	b.ReportMetric(float64(s.ClaimCount()), "records")
}

func BenchmarkImage(b *testing.B) {
	s := &control.State{}
	for i := range control.MaxClaims {
		applyDone(s, claim(fmt.Sprint("order-", i), "i1", uint64(i)), make([]byte, 100))
	}
	image := s.Image()
	data, _ := cbor.Marshal(image)
	b.ReportMetric(float64(len(data)), "image-bytes")
	measure := func(name string, f func()) {
		b.Run(name, func(b *testing.B) {
			for b.Loop() {
				f()
			}
		})
	}
	measure("take", func() { s.Image() })
	measure("encode", func() { _, _ = cbor.Marshal(image) })
	measure("decode", func() {
		if err := cbor.Unmarshal(data, new(control.Image)); err != nil {
			b.Fatal(err)
		}
	})
	measure("restore", func() { _, _ = control.FromImage(image) })
}
