package instance

import (
	"context"
	"io"

	"azurestair.example/azurestair"
	"azurestair.example/azurestair/caller"
)

// rejectTooLarge replaces the reply to a request whose streamed body exceeded
// its limit. An upstream has received the beginning of the body, so the reply
// does not say that the request has not run.
func (c *call) rejectTooLarge(r caller.Reply) caller.Reply {
	if r.Outcome == azurestair.OutcomeDone || !c.body.isTooLarge() {
		return r
	}
	return caller.Reply{Outcome: azurestair.OutcomeInvalid, Reason: azurestair.ReasonBodyTooLarge, Attempts: r.Attempts, Upstream: r.Upstream}
}

// mayEvictResponse lets the connection be closed while a buffered response is
// being sent, if memory is short. The client then has an incomplete response.
func (c *call) mayEvictResponse(ctx context.Context, r caller.Reply) caller.Reply {
	conn := connOf(ctx)
	if c.body.holder != nil && conn != nil && r.Body != nil && !r.Streamed {
		c.body.holder.setEvict(func() { _ = conn.Close() })
	}
	return r
}

// reserveResponse takes the memory to buffer a response of up to n bytes. If it
// is not available, the response is forwarded as it arrives.
func (c *call) reserveResponse(n int64) bool {
	h := c.body.holder
	return h == nil || !h.memory.countsHeads() || h.reserve(azurestair.Bytes(n))
}

// readBuffered reads a response of up to limit bytes, or of a known length that
// is smaller.
func readBuffered(r io.Reader, length, limit int64) ([]byte, error) {
	if length < 0 || length > limit {
		return io.ReadAll(io.LimitReader(r, limit+1))
	}
	data := make([]byte, length)
	n, err := io.ReadFull(r, data)
	if err == io.EOF && length == 0 { //nolint:errorlint // returned as it is
		err = nil
	}
	if err != nil {
		return data[:n], err
	}
	// The end of the body confirms that it is complete.
	extra, err := io.ReadAll(io.LimitReader(r, 1))
	return append(data, extra...), err
}
