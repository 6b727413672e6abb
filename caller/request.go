package caller

import (
	"context"
	"io"
	"net/http"
	"net/netip"
	"time"

	"azurestair.example/azurestair"
)

// Request is a caller's request after its head was checked.
type Request struct {
	ID        azurestair.RequestID
	Service   azurestair.ServiceName
	Operation azurestair.OperationName
	Method    string
	// Host is the host that the caller asked for. With it, Service and Operation
	// follow from the routes of the configuration.
	Host string
	// AttemptID is the caller's own id of this attempt, which is passed on in
	// place of one that the entry makes; empty without one.
	AttemptID azurestair.RequestID
	// Object is what the request concerns; zero means nothing in particular.
	Object azurestair.ObjectKey
	// Path is the path at the upstream with the query.
	Path    string
	Header  http.Header
	Body    io.Reader
	BodyLen int64
	Key     azurestair.RequestKey
	Caller  azurestair.CallerID
	// Deadline is zero when the caller gave none.
	Deadline time.Time
}

// Reply is what a Server answers. Body is set for OutcomeDone only.
type Reply struct {
	Outcome azurestair.Outcome
	Reason  azurestair.Reason
	// NotRun is true when the request under its key provably did not run.
	NotRun     bool
	RetryAfter azurestair.Millis
	Status     int
	Header     http.Header
	Body       io.ReadCloser
	// Length is the length of the body, negative if unknown.
	Length int64
	// Streamed is true while the answer is still being read from the upstream,
	// which ends at Deadline.
	Streamed bool
	Deadline time.Time
	// Replayed is true for an answer from the ledger.
	Replayed bool
	// Attempts counts the attempts at upstreams; Upstream is the last of them.
	Attempts int
	Upstream azurestair.UpstreamID
}

// Entry is one instance in a look-up answer.
type Entry struct {
	Instance      azurestair.InstanceID        `json:"instance"`
	Addr          string                       `json:"addr"`
	Region        azurestair.RegionName        `json:"region"`
	FailureDomain azurestair.FailureDomainName `json:"failureDomain"`
}

// LookupAnswer is the answer to a look-up: entries in the order of preference.
type LookupAnswer struct {
	Entries       []Entry                  `json:"entries"`
	TTLMs         azurestair.Millis        `json:"ttlMs"`
	ConfigVersion azurestair.ConfigVersion `json:"configVersion"`
}

// ErrorBody is the body of every answer that does not come from an upstream.
type ErrorBody struct {
	Outcome      azurestair.Outcome   `json:"outcome"`
	Reason       azurestair.Reason    `json:"reason"`
	NotRun       bool                 `json:"notRun"`
	RetryAfterMs azurestair.Millis    `json:"retryAfterMs,omitempty"`
	RequestID    azurestair.RequestID `json:"requestId"`
}

// Server decides about look-ups and requests.
type Server interface {
	// Lookup answers from local state; addr is the address of the caller or the block that it asked for.
	Lookup(addr netip.Addr) LookupAnswer
	// Serve handles a request until its reply is known.
	Serve(ctx context.Context, r *Request) Reply
	// Rejected counts a reply that was given without Serve.
	Rejected(r *Request, reply Reply)
	// Ready reports whether this instance may be named in look-ups.
	Ready() error
}
