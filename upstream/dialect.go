package upstream

import (
	"net/http"
	"strconv"
	"time"

	"azurestair.example/azurestair"
)

// Dialect maps attempts and answers to the headers that upstreams understand.
type Dialect interface {
	// Mark adds to the header of a request what the upstream needs to know.
	Mark(h http.Header, a Attempt, now time.Time)
	// Read interprets the head of an answer.
	Read(r *http.Response, a Attempt) Reading
}

// Reading is what the head of an answer says.
type Reading struct {
	// Foreign is true for an answer that does not belong to this attempt.
	Foreign bool
	// Late is true for a foreign answer after which the one to this attempt may follow.
	Late bool
	// NotRun is true when the upstream states that it did not run the attempt.
	NotRun bool
	// Unproved is true for a status that would tell the caller that the request
	// did not run, without the upstream's statement.
	Unproved bool
	// Gone is true when another upstream answers at the address.
	Gone bool
	// Unframed is true when an answer may end with its connection.
	Unframed bool
	// State is the upstream's own state; empty when it says nothing.
	State azurestair.UpstreamState
	// Load is the upstream's load; nil when it says nothing.
	Load *azurestair.Load
	// IdleFor is how long the upstream keeps an idle connection; zero when it says nothing.
	IdleFor time.Duration
}

// ownDialect is the product's own.
type ownDialect struct{}

// Mark says what is left until the deadline rather than when it is: the
// upstream's clock may differ.
func (ownDialect) Mark(h http.Header, a Attempt, now time.Time) {
	h[HeaderRequest] = []string{string(a.ID)}
	if !a.Deadline.IsZero() {
		h[HeaderTimeLeft] = []string{strconv.FormatInt(max(0, a.Deadline.Sub(now).Milliseconds()), 10)}
	}
	h[HeaderRank] = []string{a.Rank.String()}
}

func (ownDialect) Read(r *http.Response, a Attempt) Reading {
	return Reading{
		Foreign: r.Header.Get(HeaderRequest) != string(a.ID),
		NotRun:  r.StatusCode == http.StatusServiceUnavailable && r.Header.Get(HeaderNotRun) == string(a.ID),
		State:   azurestair.UpstreamState(r.Header.Get(HeaderState)),
	}
}
