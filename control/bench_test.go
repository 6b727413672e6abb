package control_test

import (
	"fmt"
	"testing"

	"github.com/fxamacker/cbor/v2"

	"azurestair.example/azurestair"
	"azurestair.example/azurestair/control"
)

// BenchmarkClaim applies a claim and its finish with an answer of 200 bytes;
// the time advances so that the ledger stays about half full.
func BenchmarkClaim(b *testing.B) {
	s := &control.State{}
	body := make([]byte, 200)
	keys := make([]string, 1<<17)
	for i := range keys {
		keys[i] = fmt.Sprint("order-", i)
	}
	b.ReportAllocs()
	for i := 0; b.Loop(); i++ {
		at := epoch.Add(azurestair.Millis(i) * 40)
		c := claim(keys[i%len(keys)], "i1", uint64(i))
		c.Deadline = at.Add(timeout)
		f := finish(c, azurestair.ClaimDone, body)
		f.At = at
		s.Apply(azurestair.Index(2*i+1), azurestair.Command{At: at, Claim: &c})
		s.Apply(azurestair.Index(2*i+2), f)
	}
	b.ReportMetric(float64(b.N)/b.Elapsed().Seconds(), "claims/s")
	b.ReportMetric(float64(s.Claims()), "records")
}

func fullState() *control.State {
	s := &control.State{}
	for i := range control.MaxClaims {
		c := claim(fmt.Sprint("order-", i), "i1", uint64(i))
		c.Deadline += azurestair.UnixMillis(i * 7919 % 60_000)
		s.Apply(azurestair.Index(2*i+1), azurestair.Command{At: epoch, Claim: &c})
		f := finish(c, azurestair.ClaimDone, make([]byte, 100))
		f.At = epoch
		s.Apply(azurestair.Index(2*i+2), f)
	}
	return s
}

func BenchmarkImage(b *testing.B) {
	s := fullState()
	b.Run("take", func(b *testing.B) {
		for b.Loop() {
			s.Image()
		}
	})
	image := s.Image()
	data, _ := cbor.Marshal(image)
	b.Run("encode", func(b *testing.B) {
		for b.Loop() {
			_, _ = cbor.Marshal(image)
		}
		b.ReportMetric(float64(len(data)), "image-bytes")
	})
	b.Run("restore", func(b *testing.B) {
		for b.Loop() {
			if _, err := control.FromImage(image); err != nil {
				b.Fatal(err)
			}
		}
	})
}
