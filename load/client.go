package load

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/textproto"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"azurestair.example/azurestair"
	"azurestair.example/azurestair/caller"
	"azurestair.example/azurestair/upstream"
)

// newHTTPClient returns a client that keeps all its connections open, so that
// schedules do not measure connection setup.
func newHTTPClient(dialer *countingDialer) *http.Client {
	return &http.Client{Timeout: clientTimeout, Transport: &http.Transport{
		DialContext: dialer.dial, MaxIdleConnsPerHost: maxInFlight, MaxIdleConns: 0, DisableCompression: true,
	}}
}

// clientTimeout is longer than the longest operation.
const clientTimeout = 10 * time.Second

// entrySender sends requests for one operation to the entries in turn.
type entrySender struct {
	http    *http.Client
	entries []string
	service azurestair.ServiceName
	rank    azurestair.Rank
	// callerName returns the caller name of request i; nil sends none, so that
	// the entry uses the client address.
	callerName func(i int) string
	// keyPrefix makes the idempotency keys of this sender unique; keys is the
	// number of keys used.
	keyPrefix string
	keys      atomic.Int64

	mu sync.Mutex
	// reasons counts requests that were not done, by reason.
	reasons map[azurestair.Reason]int
}

func (s *entrySender) countReason(reason azurestair.Reason) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.reasons == nil {
		s.reasons = map[azurestair.Reason]int{}
	}
	s.reasons[reason]++
}

// Send sends request i.
func (s *entrySender) Send(ctx context.Context, i int) Result {
	method, body := http.MethodGet, ""
	if s.rank != azurestair.RankInteractive {
		method, body = http.MethodPost, "one order"
	}
	addr := s.entries[i%len(s.entries)]
	url := fmt.Sprintf("http://%s/v1/request/%s/%s/item", addr, s.service, operationName(s.rank))
	req, err := http.NewRequestWithContext(ctx, method, url, strings.NewReader(body))
	if err != nil {
		return Failed
	}
	if method == http.MethodPost {
		req.Header.Set(caller.HeaderKey, s.keyPrefix+"-"+strconv.FormatInt(s.keys.Add(1), 10))
	}
	if s.callerName != nil {
		req.Header.Set(caller.HeaderCaller, s.callerName(i))
	}
	resp, err := s.http.Do(req)
	if err != nil {
		s.countReason("transport")
		return Failed
	}
	defer resp.Body.Close() //nolint:errcheck // the body was read
	if _, err := io.Copy(io.Discard, resp.Body); err != nil {
		s.countReason("transport")
		return Failed
	}
	if reason := resp.Header.Get(caller.HeaderReason); reason != "" {
		s.countReason(azurestair.Reason(reason))
	}
	switch azurestair.Outcome(resp.Header.Get(caller.HeaderOutcome)) {
	case azurestair.OutcomeDone:
		return Answered
	case azurestair.OutcomeRefused:
		return Refused
	}
	return Failed
}

// directSender sends requests directly to the upstreams in turn.
type directSender struct {
	http  *http.Client
	addrs []string
}

// Send sends request i.
func (d *directSender) Send(ctx context.Context, i int) Result {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+d.addrs[i%len(d.addrs)]+"/interactive/item", nil)
	if err != nil {
		return Failed
	}
	req.Header.Set(upstream.HeaderAttemptID, strconv.Itoa(i))
	resp, err := d.http.Do(req)
	if err != nil {
		return Failed
	}
	defer resp.Body.Close() //nolint:errcheck // the body was read
	if _, err := io.Copy(io.Discard, resp.Body); err != nil || resp.StatusCode != http.StatusOK {
		return Failed
	}
	return Answered
}

// lookupClient sends lookups back to back on one keep-alive connection.
type lookupClient struct {
	conn      net.Conn
	block     int
	completed *atomic.Int64
}

// run sends lookups until ctx is cancelled or the connection fails.
func (c *lookupClient) run(ctx context.Context) error {
	defer c.conn.Close() //nolint:errcheck // the result does not matter
	r := bufio.NewReader(c.conn)
	for ctx.Err() == nil {
		c.block++
		req := fmt.Sprintf("GET /v1/lookup?service=s&block=10.%d.%d.1 HTTP/1.1\r\nHost: a\r\n\r\n", c.block>>8&255, c.block&255)
		if _, err := io.WriteString(c.conn, req); err != nil {
			return err
		}
		if err := readResponse(r); err != nil {
			return err
		}
		c.completed.Add(1)
	}
	return nil
}

// readResponse reads one response that has a Content-Length. It costs less than
// http.ReadResponse, because the client shares the machine with the fleet.
func readResponse(r *bufio.Reader) error {
	line, err := r.ReadSlice('\n')
	if err != nil {
		return err
	}
	if !strings.HasPrefix(string(line), "HTTP/1.1 200 ") {
		return fmt.Errorf("%w: status line %q", azurestair.ErrInvalid, line)
	}
	length := -1
	for {
		if line, err = r.ReadSlice('\n'); err != nil {
			return err
		}
		if len(line) <= len("\r\n") {
			break
		}
		if value, ok := strings.CutPrefix(string(line), "Content-Length: "); ok {
			if length, err = strconv.Atoi(textproto.TrimString(value)); err != nil {
				return err
			}
		}
	}
	if length < 0 {
		return fmt.Errorf("%w: response without Content-Length", azurestair.ErrInvalid)
	}
	_, err = r.Discard(length)
	return err
}
