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

// newHTTP returns a client that keeps its connections, so that a schedule
// does not measure the opening of connections.
func newHTTP(w *wire) *http.Client {
	return &http.Client{Timeout: clientTimeout, Transport: &http.Transport{
		DialContext: w.dial, MaxIdleConnsPerHost: maxOpen, MaxIdleConns: 0, DisableCompression: true,
	}}
}

// clientTimeout is longer than the longest operation.
const clientTimeout = 10 * time.Second

// requester sends requests of one operation through the entries in turn.
type requester struct {
	http    *http.Client
	entries []string
	service azurestair.ServiceName
	rank    azurestair.Rank
	// callers names the caller of request i; nil means the address.
	callers func(i int) string
	// prefix makes the keys of this requester unique; sent numbers them.
	prefix string
	sent   atomic.Int64

	mu sync.Mutex
	// reasons counts what was not done by its reason.
	reasons map[azurestair.Reason]int
}

func (r *requester) count(reason azurestair.Reason) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.reasons == nil {
		r.reasons = map[azurestair.Reason]int{}
	}
	r.reasons[reason]++
}

// Send sends request i.
func (r *requester) Send(ctx context.Context, i int) Verdict {
	method, body := http.MethodGet, ""
	if r.rank != azurestair.RankInteractive {
		method, body = http.MethodPost, "one order"
	}
	addr := r.entries[i%len(r.entries)]
	url := fmt.Sprintf("http://%s/v1/request/%s/%s/item", addr, r.service, operation(r.rank))
	q, err := http.NewRequestWithContext(ctx, method, url, strings.NewReader(body))
	if err != nil {
		return Failed
	}
	if method == http.MethodPost {
		q.Header.Set(caller.HeaderKey, r.prefix+"-"+strconv.FormatInt(r.sent.Add(1), 10))
	}
	if r.callers != nil {
		q.Header.Set(caller.HeaderCaller, r.callers(i))
	}
	resp, err := r.http.Do(q)
	if err != nil {
		r.count("transport")
		return Failed
	}
	defer resp.Body.Close() //nolint:errcheck // the body was read
	if _, err := io.Copy(io.Discard, resp.Body); err != nil {
		r.count("transport")
		return Failed
	}
	if reason := resp.Header.Get(caller.HeaderReason); reason != "" {
		r.count(azurestair.Reason(reason))
	}
	switch azurestair.Outcome(resp.Header.Get(caller.HeaderOutcome)) {
	case azurestair.OutcomeDone:
		return Answered
	case azurestair.OutcomeRefused:
		return Refused
	}
	return Failed
}

// direct sends requests straight to the upstreams in turn.
type direct struct {
	http  *http.Client
	addrs []string
}

// Send sends request i.
func (d *direct) Send(ctx context.Context, i int) Verdict {
	q, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+d.addrs[i%len(d.addrs)]+"/interactive/item", nil)
	if err != nil {
		return Failed
	}
	q.Header.Set(upstream.HeaderRequest, strconv.Itoa(i))
	resp, err := d.http.Do(q)
	if err != nil {
		return Failed
	}
	defer resp.Body.Close() //nolint:errcheck // the body was read
	if _, err := io.Copy(io.Discard, resp.Body); err != nil || resp.StatusCode != http.StatusOK {
		return Failed
	}
	return Answered
}

// lookupClient repeats look-ups on one keep-alive connection without a pause.
type lookupClient struct {
	conn  net.Conn
	block int
	done  *atomic.Int64
}

// run looks up until ctx ends or the connection fails.
func (c *lookupClient) run(ctx context.Context) error {
	defer c.conn.Close() //nolint:errcheck // nothing is left to do
	r := bufio.NewReader(c.conn)
	for ctx.Err() == nil {
		c.block++
		q := fmt.Sprintf("GET /v1/lookup?service=s&block=10.%d.%d.1 HTTP/1.1\r\nHost: a\r\n\r\n", c.block>>8&255, c.block&255)
		if _, err := io.WriteString(c.conn, q); err != nil {
			return err
		}
		if err := readAnswer(r); err != nil {
			return err
		}
		c.done.Add(1)
	}
	return nil
}

// readAnswer reads one answer with a length; it is cheaper than
// http.ReadResponse, so that the client takes little of the shared machine.
func readAnswer(r *bufio.Reader) error {
	line, err := r.ReadSlice('\n')
	if err != nil {
		return err
	}
	if !strings.HasPrefix(string(line), "HTTP/1.1 200 ") {
		return fmt.Errorf("%w: answer %q", azurestair.ErrInvalid, line)
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
		return fmt.Errorf("%w: answer without a length", azurestair.ErrInvalid)
	}
	_, err = r.Discard(length)
	return err
}
