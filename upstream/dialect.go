package upstream

import (
	"net/http"
	"strconv"
	"time"

	"azurestair.example/azurestair"
)

// Dialect translates attempts and responses to and from upstream-specific headers.
type Dialect interface {
	// Mark adds the protocol headers of the attempt to the request header.
	Mark(h http.Header, a Attempt, now time.Time)
	// Read interprets the header of a response.
	Read(r *http.Response, a Attempt) Reading
}

// Reading holds the protocol fields of a response header.
type Reading struct {
	// Foreign is true if the response does not belong to this attempt.
	Foreign bool
	// Late is true if the response belongs to an earlier attempt, so that the one
	// for this attempt may still follow.
	Late bool
	// NotRun is true if the upstream states that it did not run the attempt.
	NotRun bool
	// Unproved is true if the status implies to the caller that the request did
	// not run, but the upstream did not state it.
	Unproved bool
	// Gone is true if a different upstream responds at the address.
	Gone bool
	// Unframed is true if closing the connection may mark the end of the body.
	Unframed bool
	// State is the state reported by the upstream; empty if none.
	State azurestair.UpstreamState
	// Load is the load reported by the upstream, or nil.
	Load *azurestair.Load
	// IdleFor is the advertised idle timeout of the connection; zero if none.
	IdleFor time.Duration
}

// defaultDialect uses the Azurestair headers.
type defaultDialect struct{}

// Mark sends the time left until the deadline instead of the deadline itself,
// because the upstream's clock may differ.
func (defaultDialect) Mark(h http.Header, a Attempt, now time.Time) {
	h[HeaderRequest] = []string{string(a.ID)}
	if !a.Deadline.IsZero() {
		h[HeaderTimeLeft] = []string{strconv.FormatInt(max(0, a.Deadline.Sub(now).Milliseconds()), 10)}
	}
	h[HeaderRank] = []string{a.Rank.String()}
}

func (defaultDialect) Read(r *http.Response, a Attempt) Reading {
	return Reading{
		Foreign: r.Header.Get(HeaderRequest) != string(a.ID),
		NotRun:  r.StatusCode == http.StatusServiceUnavailable && r.Header.Get(HeaderNotRun) == string(a.ID),
		State:   azurestair.UpstreamState(r.Header.Get(HeaderState)),
	}
}
