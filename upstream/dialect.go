package upstream

import (
	"net/http"
	"strconv"
	"time"

	"azurestair.example/azurestair"
)

// Dialect translates attempts and responses to and from upstream-specific
// headers.
type Dialect interface {
	// SetHeaders adds the protocol headers of the attempt to the request
	// header.
	SetHeaders(h http.Header, a Attempt, now time.Time)
	// ParseResponse interprets the header of a response.
	ParseResponse(r *http.Response, a Attempt) ResponseInfo
}

// ResponseInfo holds the protocol fields of a response header.
type ResponseInfo struct {
	// IDMismatch is true if the response does not belong to this attempt.
	IDMismatch bool
	// Stale is true if the response belongs to an earlier attempt, so that the
	// one for this attempt may still follow.
	Stale bool
	// NotRun is true if the upstream states that it did not run the attempt.
	NotRun bool
	// UnconfirmedNotRun is true if a caller would take the status to mean that
	// the request did not run, but the upstream did not state it.
	UnconfirmedNotRun bool
	// WrongUpstream is true if a different upstream responds at the address.
	WrongUpstream bool
	// CloseDelimited is true if the body may end with the connection.
	CloseDelimited bool
	// State is the state reported by the upstream; empty if none.
	State azurestair.UpstreamState
	// Load is the load reported by the upstream, or nil.
	Load *azurestair.Load
	// PauseFor is how long the upstream wants no requests; zero if it does not
	// say.
	PauseFor time.Duration
	// Anonymous is true if the response does not name the attempt that it
	// belongs to. It is then trusted only on a new connection, on which no
	// earlier response can be outstanding.
	Anonymous bool
	// KeepAlive is the advertised idle timeout of the connection; zero if none.
	KeepAlive time.Duration
}

// defaultDialect uses the Azurestair headers.
type defaultDialect struct{}

// SetHeaders sends the time left until the deadline instead of the deadline
// itself, because the upstream's clock may differ.
func (defaultDialect) SetHeaders(h http.Header, a Attempt, now time.Time) {
	h[HeaderAttemptID] = []string{string(a.ID)}
	if !a.Deadline.IsZero() {
		h[HeaderTimeLeft] = []string{strconv.FormatInt(max(0, a.Deadline.Sub(now).Milliseconds()), 10)}
	}
	h[HeaderRank] = []string{a.Rank.String()}
	if a.Workspace != "" {
		h[HeaderWorkspace] = []string{string(a.Workspace)}
	}
}

func (defaultDialect) ParseResponse(r *http.Response, a Attempt) ResponseInfo {
	return ResponseInfo{
		IDMismatch: r.Header.Get(HeaderAttemptID) != string(a.ID),
		NotRun:     r.StatusCode == http.StatusServiceUnavailable && r.Header.Get(HeaderNotRun) == string(a.ID),
		State:      azurestair.UpstreamState(r.Header.Get(HeaderState)),
	}
}
