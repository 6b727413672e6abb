package operator

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/url"
	"strconv"
	"strings"
	"time"

	"azurestair.example/azurestair"
	"azurestair.example/azurestair/control"
)

// Client is a client of the administration API at Addr. If HTTP is nil, it uses
// http.DefaultClient.
type Client struct {
	Addr  string
	Token string
	HTTP  *http.Client
}

// maxResponseBytes bounds the body of a response.
const maxResponseBytes = 64 << 20

// Config returns the current configuration.
func (c *Client) Config(ctx context.Context) (ConfigResponse, error) {
	return call[ConfigResponse](ctx, c, http.MethodGet, "/v1/config", nil)
}

// History returns the most recent versions of the configuration.
func (c *Client) History(ctx context.Context) (HistoryResponse, error) {
	return call[HistoryResponse](ctx, c, http.MethodGet, "/v1/config/history", nil)
}

// Apply replaces the configuration. On a conflict, it returns ErrConflict
// together with the response, which holds the differences.
func (c *Client) Apply(ctx context.Context, req ConfigRequest) (ChangeResponse, error) {
	return call[ChangeResponse](ctx, c, http.MethodPut, "/v1/config", req)
}

// Drain takes a target out of service.
func (c *Client) Drain(ctx context.Context, req DrainRequest) (ChangeResponse, error) {
	return call[ChangeResponse](ctx, c, http.MethodPost, "/v1/drain", req)
}

// Undrain returns a target to service.
func (c *Client) Undrain(ctx context.Context, req DrainRequest) (ChangeResponse, error) {
	return call[ChangeResponse](ctx, c, http.MethodPost, "/v1/undrain", req)
}

// ChangeMembership changes the membership of the replicated log.
func (c *Client) ChangeMembership(ctx context.Context, req MemberRequest) (ChangeResponse, error) {
	return call[ChangeResponse](ctx, c, http.MethodPost, "/v1/members", req)
}

// Status returns the status of the instance.
func (c *Client) Status(ctx context.Context) (Status, error) {
	return call[Status](ctx, c, http.MethodGet, "/v1/status", nil)
}

// Audit queries the audit trail.
func (c *Client) Audit(ctx context.Context, q control.AuditQuery) (AuditResponse, error) {
	params := url.Values{}
	if q.Operator != "" {
		params.Set("operator", string(q.Operator))
	}
	for name, n := range map[string]int64{"limit": int64(q.Limit), "from": int64(q.From), "to": int64(q.To)} {
		if n > 0 {
			params.Set(name, strconv.FormatInt(n, 10))
		}
	}
	return call[AuditResponse](ctx, c, http.MethodGet, "/v1/audit?"+params.Encode(), nil)
}

func call[Response any](ctx context.Context, c *Client, method, path string, payload any) (Response, error) {
	var result Response
	var body io.Reader
	if payload != nil {
		data, err := json.Marshal(payload)
		if err != nil {
			return result, err
		}
		body = bytes.NewReader(data)
	}
	r, err := http.NewRequestWithContext(ctx, method, "http://"+c.Addr+path, body)
	if err != nil {
		return result, err
	}
	r.Header.Set("Authorization", "Bearer "+c.Token)
	client := c.HTTP
	if client == nil {
		client = http.DefaultClient
	}
	resp, err := client.Do(r)
	if err != nil {
		return result, fmt.Errorf("%w from %s (is it listen.operators of a running instance?): %w", ErrNoResponse, c.Addr, unwrapURLError(err))
	}
	defer resp.Body.Close() //nolint:errcheck // the body has been read
	data, err := io.ReadAll(io.LimitReader(resp.Body, maxResponseBytes))
	if err != nil {
		return result, fmt.Errorf("%w from %s: %w", ErrNoResponse, c.Addr, err)
	}
	return decodeResponse[Response](resp.StatusCode, data)
}

func decodeResponse[Response any](status int, data []byte) (Response, error) {
	var result Response
	if status == http.StatusOK || status == http.StatusConflict {
		if err := json.Unmarshal(data, &result); err != nil {
			return result, err
		}
	}
	if err := statusError(status, data); err != nil {
		return result, err
	}
	return result, nil
}

func statusError(status int, data []byte) error {
	var kind error
	switch status {
	case http.StatusOK:
		return nil
	case http.StatusConflict:
		kind = azurestair.ErrConflict
	case http.StatusInsufficientStorage:
		kind = azurestair.ErrFull
	case http.StatusRequestEntityTooLarge:
		kind = azurestair.ErrTooLarge
	case http.StatusBadRequest:
		kind = azurestair.ErrInvalid
	case http.StatusUnauthorized:
		kind = azurestair.ErrUnauthorized
	case http.StatusNotFound:
		kind = azurestair.ErrNotFound
	case http.StatusServiceUnavailable:
		kind = azurestair.ErrNoQuorum
	default:
		kind = errUnexpectedStatus
	}
	var e struct {
		Error  string `json:"error"`
		Detail string `json:"detail"`
	}
	_ = json.Unmarshal(data, &e)
	return &apiError{kind: kind, status: status, detail: e.Error + e.Detail}
}

// apiError is an error response of the API.
type apiError struct {
	kind   error
	status int
	detail string
}

// Error returns the text of the response, or the kind and the status if it has
// none.
func (e *apiError) Error() string {
	switch {
	case e.detail == "":
		return fmt.Sprintf("%v (status %d)", e.kind, e.status)
	case strings.HasPrefix(e.detail, e.kind.Error()):
		return e.detail
	}
	return e.kind.Error() + ": " + e.detail
}

// Unwrap returns the sentinel error for the status.
func (e *apiError) Unwrap() error { return e.kind }

// unwrapURLError strips the method and URL that net/http adds to an error.
func unwrapURLError(err error) error {
	var u *url.Error
	if errors.As(err, &u) {
		return u.Err
	}
	return err
}

var (
	// ErrNoResponse reports that no response arrived. A requested change may
	// have been applied nevertheless.
	ErrNoResponse = errors.New("no answer")

	errUnexpectedStatus = errors.New("unexpected response")
)

// Poll calls f, for example a request to the administration API, until it
// succeeds or ctx is done, and returns the last error.
func Poll(ctx context.Context, f func() error) error {
	t := time.NewTicker(pollInterval)
	defer t.Stop()
	for {
		err := f()
		if err == nil {
			return nil
		}
		select {
		case <-ctx.Done():
			return err
		case <-t.C:
		}
	}
}
