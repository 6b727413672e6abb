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

// Headers of the protocol between callers and entries.
const (
	HeaderTimeout  = "Azurestair-Timeout-Ms"
	HeaderCaller   = "Azurestair-Caller"
	HeaderOutcome  = "Azurestair-Outcome"
	HeaderReason   = "Azurestair-Reason"
	HeaderReplayed = "Azurestair-Replayed"
	HeaderKey      = "Idempotency-Key"
	HeaderAPIKey   = "Azurestair-Key"
	headerPrefix   = "Azurestair-"
)

// headersNotForwarded lists the hop-by-hop headers and those that an entry sets
// itself, in the canonical form used by net/http.
var headersNotForwarded = []string{
	"Connection", "Keep-Alive", "Proxy-Authenticate", "Proxy-Authorization", "Proxy-Connection",
	"Te", "Trailer", "Transfer-Encoding", "Upgrade", "Content-Length", "Host", "Expect",
}

type handler struct {
	server      Server
	clock       azurestair.Clock
	bodyTimeout time.Duration
}

// NewHandler returns the HTTP handler for callers. bodyTimeout bounds the time
// for a caller to send its request body, and the time to read the response.
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
	resp := h.server.Lookup(addr)
	if len(resp.Entries) == 0 {
		h.reject(c, &Request{}, Reply{Outcome: azurestair.OutcomeRefused, Reason: azurestair.ReasonNotReady, NotRun: true})
		return
	}
	c.Header("Cache-Control", fmt.Sprintf("max-age=%d", resp.TTLMs/1000))
	c.JSON(http.StatusOK, resp)
}

func lookupAddr(c *gin.Context) (netip.Addr, error) {
	if block := c.Query("block"); block != "" {
		return netip.ParseAddr(block)
	}
	addrPort, err := netip.ParseAddrPort(c.Request.RemoteAddr)
	return addrPort.Addr().Unmap(), err
}

func (h *handler) request(c *gin.Context) {
	r, err := h.parse(c)
	if err != nil {
		// A request with a key is not reported as not run, since an earlier
		// request with the same key may have run.
		h.reject(c, r, Reply{Outcome: azurestair.OutcomeInvalid, Reason: azurestair.ReasonBadRequest, NotRun: len(c.Request.Header.Values(HeaderKey)) == 0})
		return
	}
	rc := http.NewResponseController(c.Writer)
	LimitBody(c.Writer, c.Request, r.BodyDeadline(h.clock.Now().Add(h.bodyTimeout)))
	reply := h.server.Serve(c.Request.Context(), r)
	if ClosesConn(c.Request, h.server.Ready()) {
		c.Header("Connection", "close")
	}
	// Otherwise the write deadline would also apply to the next request on the
	// connection.
	defer func() { _ = rc.SetWriteDeadline(time.Time{}) }()
	_ = rc.SetWriteDeadline(h.writeDeadline(reply))
	if reply.Outcome != azurestair.OutcomeDone {
		h.writeError(c, r.ID, reply)
		return
	}
	writeResponse(c, reply)
}

// writeDeadline returns the time by which the caller must have read the
// response. A streamed response occupies a slot at the upstream, so it is
// limited by the deadline of the request.
func (h *handler) writeDeadline(r Reply) time.Time {
	if r.Streamed {
		return r.Deadline
	}
	return h.clock.Now().Add(h.bodyTimeout)
}

// parse decodes the request line and the headers. On an error, the returned
// request holds the fields decoded so far.
func (h *handler) parse(c *gin.Context) (*Request, error) {
	req := c.Request
	r := &Request{
		ID:        azurestair.RequestID(rand.Text()),
		Service:   azurestair.ServiceName(c.Param("service")),
		Operation: azurestair.OperationName(c.Param("operation")),
		Method:    req.Method,
		Path:      upstreamPath(req.URL),
		Header:    forwardedHeader(req.Header),
		Body:      req.Body,
		BodyLen:   req.ContentLength,
		Key:       azurestair.RequestKey(req.Header.Get(HeaderKey)),
		Caller:    azurestair.CallerID(req.Header.Get(HeaderCaller)),
	}
	r.APIKey, r.HasAPIKey = APIKeyDigest(req.Header[HeaderAPIKey])
	if len(req.Header.Values(HeaderKey)) > 1 {
		return r, fmt.Errorf("%w: more than one %s header", azurestair.ErrInvalid, HeaderKey)
	}
	if r.Key != "" {
		if err := r.Key.Validate(); err != nil {
			return r, err
		}
	}
	if err := h.parseCaller(req, r); err != nil {
		return r, err
	}
	return r, h.parseTimeout(req.Header.Get(HeaderTimeout), r)
}

func (h *handler) parseCaller(req *http.Request, r *Request) error {
	if r.Caller != "" {
		return azurestair.CheckName(HeaderCaller, string(r.Caller))
	}
	addrPort, err := netip.ParseAddrPort(req.RemoteAddr)
	if err != nil {
		return fmt.Errorf("%w: remote address %q", azurestair.ErrInvalid, req.RemoteAddr)
	}
	// Use the block, since a single IPv6 caller can send from many addresses.
	r.Caller = azurestair.CallerID(azurestair.BlockOf(addrPort.Addr()).String())
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

// requestPath is the path prefix of requests to forward.
const requestPath = "/v1/request/"

// upstreamPath returns the path at the upstream: the operation, the rest of the
// path and the query, percent-encoded as the caller sent them.
func upstreamPath(u *url.URL) string {
	_, p, _ := strings.Cut(strings.TrimPrefix(u.EscapedPath(), requestPath), "/")
	if u.RawQuery != "" || u.ForceQuery {
		p += "?" + strings.ReplaceAll(u.RawQuery, "#", "%23")
	}
	return "/" + p
}

func forwardedHeader(h http.Header) http.Header {
	// A shallow copy is enough, since the values are never modified.
	out := maps.Clone(h)
	RemoveHopByHop(out)
	return out
}

// RemoveHopByHop removes the header fields that are not forwarded.
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

// reject writes and counts the reply to a request that is not passed to Serve.
func (h *handler) reject(c *gin.Context, r *Request, reply Reply) {
	h.server.CountRejected(r, reply)
	h.writeError(c, r.ID, reply)
}

// httpStatus returns the HTTP status of a reply that carries no upstream
// response.
func httpStatus(r Reply) int {
	switch r.Outcome {
	case azurestair.OutcomeInProgress:
		return http.StatusConflict
	case azurestair.OutcomeUnknown:
		return http.StatusGatewayTimeout
	case azurestair.OutcomeInvalid:
		return invalidStatus(r.Reason)
	}
	if r.Reason == azurestair.ReasonCallerShare || r.Reason == azurestair.ReasonQuota {
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
	case azurestair.ReasonWorkspaceKeyMissing, azurestair.ReasonWorkspaceKeyUnknown:
		return http.StatusUnauthorized
	}
	return http.StatusBadRequest
}

func (h *handler) writeError(c *gin.Context, id azurestair.RequestID, r Reply) {
	c.Header(HeaderOutcome, string(r.Outcome))
	c.Header(HeaderReason, string(r.Reason))
	if r.RetryAfter > 0 {
		c.Header("Retry-After", strconv.FormatInt(int64(r.RetryAfter+999)/1000, 10))
	}
	c.JSON(httpStatus(r), ErrorBody{
		Outcome: r.Outcome, Reason: r.Reason, NotRun: r.NotRun, RetryAfterMs: r.RetryAfter, RequestID: id,
	})
}

// writeResponse forwards the upstream's response. A truncated response aborts
// the connection, so that the caller cannot mistake it for a complete one.
func writeResponse(c *gin.Context, r Reply) {
	h := c.Writer.Header()
	h.Set(HeaderOutcome, string(azurestair.OutcomeDone))
	if r.Reason != azurestair.ReasonNone {
		// The request ran, but its recorded response has been dropped, so the
		// body is empty.
		h.Set(HeaderReason, string(r.Reason))
	}
	if r.Replayed {
		h.Set(HeaderReplayed, "true")
	}
	WriteUpstreamResponse(c.Writer, c.Request, r)
}

// WriteUpstreamResponse forwards the headers and the body of an upstream's
// response to req. If the body cannot be copied in full, it panics with
// http.ErrAbortHandler, so that net/http aborts the connection.
func WriteUpstreamResponse(w http.ResponseWriter, req *http.Request, r Reply) {
	defer r.Body.Close() //nolint:errcheck // the response has been written or aborted
	h := w.Header()
	maps.Copy(h, forwardedHeader(r.Header))
	if _, ok := h["Content-Type"]; !ok {
		// A nil value keeps net/http from sniffing the content type.
		h["Content-Type"] = nil
	}
	if r.Length >= 0 {
		h.Set("Content-Length", strconv.FormatInt(r.Length, 10))
	}
	w.WriteHeader(r.Status)
	if err := copyBody(flushWriter{w}, r.Body); err != nil {
		if r.Length < 0 && !req.ProtoAtLeast(1, 1) {
			resetConn(w)
		}
		panic(http.ErrAbortHandler)
	}
}

// resetConn resets the connection of a caller. A caller of HTTP/1.0 gets a body
// without a length up to the end of the connection, and would take an orderly
// close for the end of the whole body.
func resetConn(w http.ResponseWriter) {
	// The writer of gin cannot be hijacked once the body has begun.
	for {
		u, ok := w.(interface{ Unwrap() http.ResponseWriter })
		if !ok {
			break
		}
		w = u.Unwrap()
	}
	conn, _, err := http.NewResponseController(w).Hijack()
	if err != nil {
		return
	}
	if l, ok := conn.(interface{ SetLinger(sec int) error }); ok {
		_ = l.SetLinger(0)
	}
	_ = conn.Close()
}

// copyBufferBytes is the size of the buffer for copying a response body.
const copyBufferBytes = 32 << 10

// copyBufferPool holds the buffers of copyBody. Allocating a buffer for each
// response accounted for 60% of what an entry allocated.
var copyBufferPool = sync.Pool{New: func() any { return new([copyBufferBytes]byte) }}

func copyBody(w io.Writer, r io.Reader) error {
	buf := copyBufferPool.Get().(*[copyBufferBytes]byte)
	defer copyBufferPool.Put(buf)
	_, err := io.CopyBuffer(w, r, buf[:])
	return err
}

// flushWriter flushes after each write, so that streamed responses are not held
// back.
type flushWriter struct{ http.ResponseWriter }

func (w flushWriter) Write(p []byte) (int, error) {
	n, err := w.ResponseWriter.Write(p)
	if f, ok := w.ResponseWriter.(http.Flusher); ok && err == nil {
		f.Flush()
	}
	return n, err
}

// Limits holds the limits on connections from callers.
type Limits struct {
	MaxHeaderBytes int
	HeaderTimeout  time.Duration
	IdleTimeout    time.Duration
}

// NewHTTPServer returns a server for h. The limits keep slow or idle callers
// from holding connections indefinitely.
func NewHTTPServer(h http.Handler, l Limits) *http.Server {
	return &http.Server{
		Handler:           h,
		ReadHeaderTimeout: l.HeaderTimeout,
		IdleTimeout:       l.IdleTimeout,
		MaxHeaderBytes:    l.MaxHeaderBytes,
	}
}

// IsClosed reports whether err was returned because the server was shut down.
func IsClosed(err error) bool { return errors.Is(err, http.ErrServerClosed) }
