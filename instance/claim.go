package instance

import (
	"bytes"
	"context"
	"crypto/sha256"
	"errors"
	"io"
	"net/http"
	"time"

	"azurestair.example/azurestair"
	"azurestair.example/azurestair/caller"
)

const (
	// replyReserve is the part of a request's time that is reserved for sending
	// the reply to the caller.
	replyReserve = 10 * time.Millisecond
	// maxRecordWait bounds how long a reply waits for its outcome to be
	// recorded.
	maxRecordWait = 500 * time.Millisecond
	// recordTimeout bounds the attempts to record an outcome.
	recordTimeout = 30 * time.Second
	// claimQueryTimeout bounds the query that checks in the ledger whether a
	// refused request has run.
	claimQueryTimeout = 250 * time.Millisecond
	// recordBufferLimit is the largest response that is buffered and recorded
	// before it is forwarded.
	recordBufferLimit = 1 << 20
)

// serveAtMostOnce forwards a request that must run at most once: it claims the
// request's key in the ledger before it sends the first byte, and records the
// outcome. An entry that has lost contact with the leader fails at once instead
// of waiting for a ledger that is probably unreachable; the caller can use
// another entry.
func (c *call) serveAtMostOnce(ctx context.Context) caller.Reply {
	if c.req.Key == "" {
		return invalidReply(azurestair.ReasonKeyMissing)
	}
	if !c.entry.view.Load().isCurrent(c.entry.clock.Now()) {
		return unknownReply(azurestair.ReasonLedgerUnreachable)
	}
	if reason := c.readBody(ctx); reason != azurestair.ReasonNone {
		return clearUnprovenNotRun(c.req, bodyReply(reason))
	}
	if reason := c.dispatcher.admit(ctx, c.work); reason != azurestair.ReasonNone {
		return c.refuseKeyed(ctx, reason)
	}
	return c.releaseSlotAfter(c.claimAndSend(ctx))
}

// claimAndSend claims the key of an admitted request and sends the request if
// the claim is granted.
func (c *call) claimAndSend(ctx context.Context) caller.Reply {
	claim := c.newClaim()
	claimCtx, cancel := context.WithDeadline(ctx, c.work.Deadline.Add(-replyReserve))
	defer cancel()
	c.dispatcher.beginLedgerWait()
	res, err := c.entry.ledger.Propose(claimCtx, azurestair.Command{Claim: &claim})
	c.dispatcher.endLedgerWait()
	if err != nil {
		// The claim may still be committed later. Recording that it was not
		// used lets another entry claim the key.
		c.recordAsync(claim, azurestair.ClaimNotRun, nil)
		return unknownReply(azurestair.ReasonLedgerUnreachable)
	}
	if res.Code != azurestair.ResultGranted {
		return claimRefusalReply(res)
	}
	return c.sendClaimed(ctx, claim)
}

// fingerprint returns a hash that distinguishes different requests with the
// same key.
func (c *call) fingerprint() []byte {
	h := sha256.New()
	_, _ = io.WriteString(h, c.req.Method+" "+c.req.Path+"\n"+c.req.Header.Get("Content-Type")+"\n")
	for _, chunk := range c.body.chunks {
		_, _ = h.Write(chunk)
	}
	return h.Sum(nil)
}

func (c *call) newClaim() azurestair.Claim {
	return azurestair.Claim{
		Service: c.work.Service, Operation: c.work.Operation, Key: c.req.Key, Fingerprint: c.fingerprint(),
		Instance: c.entry.self.ID, Incarnation: c.entry.self.Incarnation, Attempt: c.entry.claimAttempts.Add(1),
		Deadline:    azurestair.UnixMillisOf(c.work.Deadline),
		RemainingMs: azurestair.MillisOf(max(time.Millisecond, c.work.Deadline.Sub(c.entry.clock.Now()))),
	}
}

// refuseKeyed refuses a request that was not admitted. The reply may say that
// the request did not run only if the ledger confirms it, because the key may
// have been used through another entry.
func (c *call) refuseKeyed(ctx context.Context, reason azurestair.Reason) caller.Reply {
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), claimQueryTimeout)
	defer cancel()
	st, err := c.entry.ledger.QueryClaim(ctx, azurestair.ClaimQuery{Service: c.work.Service, Key: c.req.Key})
	switch {
	case err != nil:
		return unknownReply(azurestair.ReasonLedgerUnreachable)
	case st.Record == nil || st.Record.State == azurestair.ClaimNotRun:
		return refusedReply(reason)
	case st.Record.Claim.Operation != c.work.Operation || !bytes.Equal(st.Record.Claim.Fingerprint, c.fingerprint()):
		return caller.Reply{Outcome: azurestair.OutcomeInvalid, Reason: azurestair.ReasonKeyReused}
	}
	return recordedReply(*st.Record)
}

// claimRefusalReply converts a claim that was not granted into a reply.
func claimRefusalReply(res azurestair.Result) caller.Reply {
	switch {
	case res.Code == azurestair.ResultFull:
		return refusedReply(azurestair.ReasonLedgerFull)
	case res.Code == azurestair.ResultKeyReused:
		return caller.Reply{Outcome: azurestair.OutcomeInvalid, Reason: azurestair.ReasonKeyReused}
	case res.Code == azurestair.ResultRecorded && res.Record != nil:
		return recordedReply(*res.Record)
	}
	return caller.Reply{Outcome: azurestair.OutcomeInProgress, Reason: azurestair.ReasonInProgress, RetryAfter: retryAfter}
}

// recordedReply converts a ledger record into a reply.
func recordedReply(r azurestair.ClaimRecord) caller.Reply {
	switch r.State {
	case azurestair.ClaimHeld:
		return caller.Reply{Outcome: azurestair.OutcomeInProgress, Reason: azurestair.ReasonInProgress, RetryAfter: retryAfter}
	case azurestair.ClaimDone:
		return replayReply(r.Answer)
	case azurestair.ClaimNotRun:
		return refusedReply(azurestair.ReasonConnect)
	}
	return unknownReply(azurestair.ReasonEntryLost)
}

func replayReply(a *azurestair.Answer) caller.Reply {
	if a == nil || a.Dropped {
		return caller.Reply{
			Outcome: azurestair.OutcomeDone, Reason: azurestair.ReasonAnswerDropped, Replayed: true,
			Status: http.StatusNoContent, Body: http.NoBody,
		}
	}
	h := http.Header{}
	for name, value := range a.Header {
		h.Set(name, value)
	}
	return caller.Reply{
		Outcome: azurestair.OutcomeDone, Replayed: true, Status: a.Status, Header: h,
		Body: io.NopCloser(bytes.NewReader(a.Body)), Length: int64(len(a.Body)),
	}
}

// sendClaimed sends a request whose claim this entry holds and records the
// outcome.
func (c *call) sendClaimed(ctx context.Context, claim azurestair.Claim) caller.Reply {
	reply := c.runAttempts(ctx, func() error {
		// A process that was suspended after the claim was granted must not
		// send the request after its deadline.
		if !c.entry.clock.Now().Before(c.work.Deadline) {
			return azurestair.ErrDeadline
		}
		return nil
	})
	if reply.Outcome != azurestair.OutcomeDone {
		c.releaseSlot()
	}
	switch reply.Outcome {
	case azurestair.OutcomeDone:
		return c.recordDone(claim, reply)
	case azurestair.OutcomeRefused:
		c.record(claim, azurestair.ClaimNotRun, nil)
	default:
		c.record(claim, azurestair.ClaimUnknown, nil)
	}
	return reply
}

// recordDone records a successful response and returns it. A response of more
// than recordBufferLimit bytes is streamed and recorded at its end.
func (c *call) recordDone(claim azurestair.Claim, reply caller.Reply) caller.Reply {
	data, err := io.ReadAll(io.LimitReader(reply.Body, recordBufferLimit+1))
	if err != nil {
		_ = reply.Body.Close()
		c.releaseSlot()
		c.record(claim, azurestair.ClaimUnknown, nil)
		return unknownReply(azurestair.ReasonBroken)
	}
	answer := azurestair.Answer{Status: reply.Status, Header: recordedHeader(reply.Header)}
	if len(data) <= int(azurestair.MaxRecordedAnswer) {
		answer.Body = data
	} else {
		answer.Dropped = true
	}
	rest := reply.Body
	if len(data) <= recordBufferLimit {
		// The upstream has finished, so the slot is released before the ledger
		// is updated.
		_ = rest.Close()
		c.releaseSlot()
		c.record(claim, azurestair.ClaimDone, &answer)
		reply.Streamed = false
		reply.Body = io.NopCloser(bytes.NewReader(data))
		if c.req.Method != http.MethodHead {
			reply.Length = int64(len(data))
		}
		return reply
	}
	reply.Body = &recordedBody{
		Reader: io.MultiReader(bytes.NewReader(data), rest), rest: rest, call: c, claim: claim, answer: &answer,
	}
	return reply
}

// recordedBody streams a response that is too long to buffer and records the
// outcome of its claim at the end. A response that breaks off must not be
// recorded as done, because a resend would then be answered as if it were
// complete.
type recordedBody struct {
	io.Reader
	rest     io.Closer
	call     *call
	claim    azurestair.Claim
	answer   *azurestair.Answer
	recorded bool
}

// Read implements io.Reader. Only io.EOF marks a complete response.
func (b *recordedBody) Read(p []byte) (int, error) {
	n, err := b.Reader.Read(p)
	switch {
	case errors.Is(err, io.EOF):
		b.record(azurestair.ClaimDone, b.answer)
	case err != nil:
		b.record(azurestair.ClaimUnknown, nil)
	}
	return n, err
}

// Close closes the response. If it was not read to the end, the outcome is
// recorded as unknown.
func (b *recordedBody) Close() error {
	b.record(azurestair.ClaimUnknown, nil)
	return b.rest.Close()
}

func (b *recordedBody) record(state azurestair.ClaimState, a *azurestair.Answer) {
	if b.recorded {
		return
	}
	b.recorded = true
	b.call.record(b.claim, state, a)
}

// maxRecordedHeaderBytes bounds the header fields that are recorded with an
// answer.
const maxRecordedHeaderBytes = 2 << 10

// recordedHeader returns the header fields that are recorded with an answer.
func recordedHeader(h http.Header) map[string]string {
	out := map[string]string{}
	size := 0
	for _, name := range []string{"Content-Type", "Content-Language", "Content-Encoding", "Etag", "Location"} {
		value := h.Get(name)
		if size += len(name) + len(value); value != "" && size <= maxRecordedHeaderBytes {
			out[name] = value
		}
	}
	return out
}

// record records the outcome of a claim. It waits for at most maxRecordWait and
// not beyond the caller's deadline.
func (c *call) record(claim azurestair.Claim, state azurestair.ClaimState, a *azurestair.Answer) {
	done := c.recordAsync(claim, state, a)
	left := c.work.Deadline.Sub(c.entry.clock.Now()) - replyReserve
	t := time.NewTimer(max(0, min(maxRecordWait, left)))
	defer t.Stop()
	select {
	case <-done:
	case <-t.C:
	}
}

// recordAsync starts recording the outcome of a claim. The returned channel is
// closed when that has ended.
func (c *call) recordAsync(claim azurestair.Claim, state azurestair.ClaimState, a *azurestair.Answer) <-chan struct{} {
	r := &outcomeRecorder{ledger: c.entry.ledger, done: make(chan struct{}), completion: azurestair.ClaimCompletion{
		Service: claim.Service, Key: claim.Key, Instance: claim.Instance, Incarnation: claim.Incarnation,
		Attempt: claim.Attempt, State: state, Answer: a,
	}}
	c.entry.inFlight.Add(1)
	c.entry.wg.Go(func() {
		defer c.entry.inFlight.Add(-1)
		r.run()
	})
	return r.done
}

// outcomeRecorder records one outcome, with retries until recordTimeout.
type outcomeRecorder struct {
	ledger     azurestair.Proposer
	completion azurestair.ClaimCompletion
	done       chan struct{}
}

func (r *outcomeRecorder) run() {
	defer close(r.done)
	ctx, cancel := context.WithTimeout(context.Background(), recordTimeout)
	defer cancel()
	_, _ = r.ledger.Propose(ctx, azurestair.Command{Completion: &r.completion})
}
