package caller

import (
	"crypto/rand"
	"errors"
	"fmt"
	"io"
	"maps"
	"net/http"
	"net/netip"
	"net/url"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/gin-gonic/gin"

	"azurestair.example/azurestair"
)

// Headers of the protocol between a caller and an entry.
const (
	HeaderTimeout  = "Azurestair-Timeout-Ms"
	HeaderCaller   = "Azurestair-Caller"
	HeaderOutcome  = "Azurestair-Outcome"
	HeaderReason   = "Azurestair-Reason"
	HeaderReplayed = "Azurestair-Replayed"
	HeaderKey      = "Idempotency-Key"
	headerPrefix   = "Azurestair-"
)

// headersNotForwarded are the hop-by-hop headers and those that an entry sets
// itself, in the canonical form in which net/http keeps them.
var headersNotForwarded = []string{
	"Connection", "Keep-Alive", "Proxy-Authenticate", "Proxy-Authorization", "Proxy-Connection",
	"Te", "Trailer", "Transfer-Encoding", "Upgrade", "Content-Length", "Host", "Expect",
}

type handler struct {
	server      Server
	clock       azurestair.Clock
	bodyTimeout time.Duration
}

// NewHandler returns the HTTP handler for callers. bodyTimeout bounds how long
// a caller may take to send its request and to read its answer.
func NewHandler(s Server, clock azurestair.Clock, bodyTimeout time.Duration) http.Handler {
	gin.SetMode(gin.ReleaseMode)
	h := &handler{server: s, clock: clock, bodyTimeout: bodyTimeout}
	e := gin.New()
	e.UseRawPath = true
	e.UnescapePathValues = false
	e.GET("/v1/lookup", h.lookup)
	e.Any(requestPath+":service/:operation/*path", h.request)
	e.Any(requestPath+":service/:operation", h.request)
	e.GET("/healthz", func(c *gin.Context) { c.String(http.StatusOK, "ok\n") })
	e.GET("/readyz", h.ready)
	return e
}

func (h *handler) ready(c *gin.Context) {
	if err := h.server.Ready(); err != nil {
		c.String(http.StatusServiceUnavailable, "%s\n", err)
		return
	}
	c.String(http.StatusOK, "ready\n")
}

func (h *handler) lookup(c *gin.Context) {
	addr, err := lookupAddr(c)
	if err != nil {
		h.reject(c, &Request{}, Reply{Outcome: azurestair.OutcomeInvalid, Reason: azurestair.ReasonBadRequest, NotRun: true})
		return
	}
	answer := h.server.Lookup(addr)
	if len(answer.Entries) == 0 {
		h.reject(c, &Request{}, Reply{Outcome: azurestair.OutcomeRefused, Reason: azurestair.ReasonNotReady, NotRun: true})
		return
	}
	c.Header("Cache-Control", fmt.Sprintf("max-age=%d", answer.TTLMs/1000))
	c.JSON(http.StatusOK, answer)
}

func lookupAddr(c *gin.Context) (netip.Addr, error) {
	if block := c.Query("block"); block != "" {
		return netip.ParseAddr(block)
	}
	ap, err := netip.ParseAddrPort(c.Request.RemoteAddr)
	return ap.Addr().Unmap(), err
}

func (h *handler) request(c *gin.Context) {
	r, err := h.parse(c)
	if err != nil {
		// The request may have run before, under the same key.
		h.reject(c, r, Reply{Outcome: azurestair.OutcomeInvalid, Reason: azurestair.ReasonBadRequest, NotRun: len(c.Request.Header.Values(HeaderKey)) == 0})
		return
	}
	rc := http.NewResponseController(c.Writer)
	readBy := h.clock.Now().Add(h.bodyTimeout)
	if !r.Deadline.IsZero() && r.Deadline.Before(readBy) {
		readBy = r.Deadline
	}
	_ = rc.SetReadDeadline(readBy)
	if errors.Is(h.server.Ready(), azurestair.ErrClosed) {
		c.Header("Connection", "close")
	}
	reply := h.server.Serve(c.Request.Context(), r)
	// The server keeps a write deadline across the requests of a connection.
	defer func() { _ = rc.SetWriteDeadline(time.Time{}) }()
	_ = rc.SetWriteDeadline(h.writeBy(reply))
	if reply.Outcome != azurestair.OutcomeDone {
		h.writeError(c, r.ID, reply)
		return
	}
	writeAnswer(c, reply)
}

// writeBy returns until when the caller must have read the answer. One that is
// still being read from the upstream holds a slot there and gets no longer
// than its deadline.
func (h *handler) writeBy(r Reply) time.Time {
	if r.Streamed {
		return r.Deadline
	}
	return h.clock.Now().Add(h.bodyTimeout)
}

// parse reads the head of a request; with an error the request holds what was read before it.
func (h *handler) parse(c *gin.Context) (*Request, error) {
	q := c.Request
	r := &Request{
		ID:        azurestair.RequestID(rand.Text()),
		Service:   azurestair.ServiceName(c.Param("service")),
		Operation: azurestair.OperationName(c.Param("operation")),
		Method:    q.Method,
		Path:      upstreamPath(q.URL),
		Header:    forwardedHeader(q.Header),
		Body:      q.Body,
		BodyLen:   q.ContentLength,
		Key:       azurestair.RequestKey(q.Header.Get(HeaderKey)),
		Caller:    azurestair.CallerID(q.Header.Get(HeaderCaller)),
	}
	if len(q.Header.Values(HeaderKey)) > 1 {
		return r, fmt.Errorf("%w: more than one %s header", azurestair.ErrInvalid, HeaderKey)
	}
	if r.Key != "" {
		if err := r.Key.Validate(); err != nil {
			return r, err
		}
	}
	if err := h.parseCaller(q, r); err != nil {
		return r, err
	}
	return r, h.parseTimeout(q.Header.Get(HeaderTimeout), r)
}

func (h *handler) parseCaller(q *http.Request, r *Request) error {
	if r.Caller != "" {
		return azurestair.CheckName(HeaderCaller, string(r.Caller))
	}
	ap, err := netip.ParseAddrPort(q.RemoteAddr)
	if err != nil {
		return fmt.Errorf("%w: remote address %q", azurestair.ErrInvalid, q.RemoteAddr)
	}
	// A block, since one IPv6 caller has more addresses than it needs to look like many.
	r.Caller = azurestair.CallerID(azurestair.BlockOf(ap.Addr()).String())
	return nil
}

func (h *handler) parseTimeout(s string, r *Request) error {
	if s == "" {
		return nil
	}
	n, err := strconv.ParseInt(s, 10, 64)
	if err != nil || n < 1 || azurestair.Millis(n) > azurestair.MaxTimeoutMs {
		return fmt.Errorf("%w: %s = %q; allowed 1 to %d", azurestair.ErrInvalid, HeaderTimeout, s, azurestair.MaxTimeoutMs)
	}
	r.Deadline = h.clock.Now().Add(azurestair.Millis(n).Duration())
	return nil
}

// requestPath is the path below which requests are taken.
const requestPath = "/v1/request/"

// upstreamPath is the path at the upstream: operation, rest of the path and
// query, in the caller's own encoding.
func upstreamPath(u *url.URL) string {
	_, p, _ := strings.Cut(strings.TrimPrefix(u.EscapedPath(), requestPath), "/")
	if u.RawQuery != "" || u.ForceQuery {
		p += "?" + strings.ReplaceAll(u.RawQuery, "#", "%23")
	}
	return "/" + p
}

func forwardedHeader(h http.Header) http.Header {
	// The values are shared, since nobody changes them.
	out := maps.Clone(h)
	RemoveHopByHop(out)
	return out
}

// RemoveHopByHop removes the fields that are not passed on.
func RemoveHopByHop(h http.Header) {
	for _, field := range h["Connection"] {
		for name := range strings.SplitSeq(field, ",") {
			h.Del(strings.TrimSpace(name))
		}
	}
	for _, name := range headersNotForwarded {
		delete(h, name)
	}
	for name := range h {
		if strings.HasPrefix(name, headerPrefix) {
			delete(h, name)
		}
	}
}

// reject answers what never reaches the server's Serve, and has it counted.
func (h *handler) reject(c *gin.Context, r *Request, reply Reply) {
	h.server.Rejected(r, reply)
	h.writeError(c, r.ID, reply)
}

// statusOf maps a reply without an upstream's answer to its HTTP status.
func statusOf(r Reply) int {
	switch r.Outcome {
	case azurestair.OutcomeInProgress:
		return http.StatusConflict
	case azurestair.OutcomeUnknown:
		return http.StatusGatewayTimeout
	case azurestair.OutcomeInvalid:
		return invalidStatus(r.Reason)
	}
	if r.Reason == azurestair.ReasonCallerShare {
		return http.StatusTooManyRequests
	}
	return http.StatusServiceUnavailable
}

func invalidStatus(reason azurestair.Reason) int {
	switch reason {
	case azurestair.ReasonUnknownOperation:
		return http.StatusNotFound
	case azurestair.ReasonKeyReused:
		return http.StatusUnprocessableEntity
	}
	return http.StatusBadRequest
}

func (h *handler) writeError(c *gin.Context, id azurestair.RequestID, r Reply) {
	c.Header(HeaderOutcome, string(r.Outcome))
	c.Header(HeaderReason, string(r.Reason))
	if r.RetryAfter > 0 {
		c.Header("Retry-After", strconv.FormatInt(int64(r.RetryAfter+999)/1000, 10))
	}
	c.JSON(statusOf(r), ErrorBody{
		Outcome: r.Outcome, Reason: r.Reason, NotRun: r.NotRun, RetryAfterMs: r.RetryAfter, RequestID: id,
	})
}

// writeAnswer passes on the upstream's answer. It aborts the connection when
// the answer breaks off, so that the caller never takes a part for the whole.
func writeAnswer(c *gin.Context, r Reply) {
	h := c.Writer.Header()
	h.Set(HeaderOutcome, string(azurestair.OutcomeDone))
	if r.Reason != azurestair.ReasonNone {
		// A done request whose answer is no longer kept has an empty one.
		h.Set(HeaderReason, string(r.Reason))
	}
	if r.Replayed {
		h.Set(HeaderReplayed, "true")
	}
	WriteAnswer(c.Writer, r)
}

// WriteAnswer passes on the header and the body of an upstream's answer. It
// panics with http.ErrAbortHandler when the answer breaks off.
func WriteAnswer(w http.ResponseWriter, r Reply) {
	defer r.Body.Close() //nolint:errcheck // nothing is left to do
	h := w.Header()
	maps.Copy(h, forwardedHeader(r.Header))
	if _, ok := h["Content-Type"]; !ok {
		// The server would guess one.
		h["Content-Type"] = nil
	}
	if r.Length >= 0 {
		h.Set("Content-Length", strconv.FormatInt(r.Length, 10))
	}
	w.WriteHeader(r.Status)
	if err := copyBody(flushWriter{w}, r.Body); err != nil {
		panic(http.ErrAbortHandler)
	}
}

// copyBufferBytes is the size of the pieces in which answers are passed on.
const copyBufferBytes = 32 << 10

// copyBuffers holds the buffers of copyBody. A new one for each answer made
// up 60% of what an entry allocated.
var copyBuffers = sync.Pool{New: func() any { return new([copyBufferBytes]byte) }}

func copyBody(w io.Writer, r io.Reader) error {
	buf := copyBuffers.Get().(*[copyBufferBytes]byte)
	defer copyBuffers.Put(buf)
	_, err := io.CopyBuffer(w, r, buf[:])
	return err
}

// flushWriter passes each piece of a streamed answer on at once.
type flushWriter struct{ http.ResponseWriter }

func (w flushWriter) Write(p []byte) (int, error) {
	n, err := w.ResponseWriter.Write(p)
	if f, ok := w.ResponseWriter.(http.Flusher); ok && err == nil {
		f.Flush()
	}
	return n, err
}

// Limits on the connections of callers.
type Limits struct {
	MaxHeaderBytes int
	HeaderTimeout  time.Duration
	IdleTimeout    time.Duration
}

// NewHTTPServer returns a server for h with limits that keep a slow or silent
// caller from holding a connection for ever.
func NewHTTPServer(h http.Handler, l Limits) *http.Server {
	return &http.Server{
		Handler:           h,
		ReadHeaderTimeout: l.HeaderTimeout,
		IdleTimeout:       l.IdleTimeout,
		MaxHeaderBytes:    l.MaxHeaderBytes,
	}
}

// IsClosed reports whether a server ended because it was shut down.
func IsClosed(err error) bool { return errors.Is(err, http.ErrServerClosed) }
