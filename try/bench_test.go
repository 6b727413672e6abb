package try

import (
	"context"
	"io"
	"net/http"
	"testing"
	"time"

	"azurestair.example/azurestair/caller"
	"azurestair.example/azurestair/upstream"
)

// BenchmarkRequest sends requests sequentially to an upstream that responds
// immediately, directly and through an entry. The difference is the overhead of
// an entry; both figures include the allocations of client and upstream.
func BenchmarkRequest(b *testing.B) {
	ctx, cancel := context.WithTimeout(context.Background(), time.Minute)
	defer cancel()
	c, err := startCluster(ctx, numEntries, io.Discard)
	if err != nil {
		b.Fatal(err)
	}
	defer c.Stop(ctx)
	r := &run{cluster: c, http: &http.Client{Timeout: startTimeout}}
	if _, err := r.configure(ctx); err != nil {
		b.Fatal(err)
	}
	for _, u := range c.upstreams {
		u.SetServiceTime(0)
	}
	entry := c.entries()[0].settings.Listen.Callers
	b.Run("straight", func(b *testing.B) { benchmarkGet(b, r.http, "http://"+c.upstreams[0].Addr()+"/browse/item") })
	b.Run("entry", func(b *testing.B) {
		benchmarkGet(b, r.http, "http://"+entry+"/v1/request/"+string(serviceCatalogue)+"/browse/item")
	})
}

func benchmarkGet(b *testing.B, client *http.Client, url string) {
	b.ReportAllocs()
	for b.Loop() {
		req, err := http.NewRequest(http.MethodGet, url, nil)
		if err != nil {
			b.Fatal(err)
		}
		req.Header.Set(upstream.HeaderAttemptID, "1")
		resp, err := client.Do(req)
		if err != nil {
			b.Fatal(err)
		}
		_, err = io.Copy(io.Discard, resp.Body)
		resp.Body.Close()
		if err != nil || resp.StatusCode != http.StatusOK {
			b.Fatal(resp.Status, resp.Header.Get(caller.HeaderReason), err)
		}
	}
}
