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
	// answerReserve is kept of a request's time for the answer to the caller.
	answerReserve = 10 * time.Millisecond
	// recordWait bounds how long an answer waits until its outcome is recorded.
	recordWait = 500 * time.Millisecond
	// recordTimeout bounds the tries to record an outcome.
	recordTimeout = 30 * time.Second
	// queryWait bounds how long a refusal waits for the ledger's word that the request did not run.
	queryWait = 250 * time.Millisecond
	// bufferLimit is the largest answer that is read as a whole before it is passed on.
	bufferLimit = 1 << 20
)

// serveOnce forwards a request that must run at most once: it is claimed in
// the ledger before its first byte is sent, and its outcome is recorded. An
// entry that has lost control does not make the caller wait for a ledger that
// it probably cannot reach; the caller can turn to another entry.
func (c *call) serveOnce(ctx context.Context) caller.Reply {
	if c.req.Key == "" {
		return invalid(azurestair.ReasonKeyMissing)
	}
	if !c.entry.view.Load().isCurrent(c.entry.clock.Now()) {
		return unknown(azurestair.ReasonLedgerUnreachable)
	}
	if reason := c.readBody(); reason != azurestair.ReasonNone {
		return caller.Reply{Outcome: azurestair.OutcomeInvalid, Reason: reason}
	}
	if reason := c.gate.admit(ctx, c.work); reason != azurestair.ReasonNone {
		return c.refuseKeyed(ctx, reason)
	}
	return c.freeAfter(c.claimAndSend(ctx))
}

// claimAndSend claims an admitted request and sends it if the claim is granted.
func (c *call) claimAndSend(ctx context.Context) caller.Reply {
	claim := c.claim()
	claimCtx, cancel := context.WithDeadline(ctx, c.work.Deadline.Add(-answerReserve))
	defer cancel()
	c.gate.park()
	res, err := c.entry.ledger.Propose(claimCtx, azurestair.Command{Claim: &claim})
	c.gate.unpark()
	if err != nil {
		// The claim may still be accepted later; recording that it was not
		// used lets another entry take over.
		c.startRecord(claim, azurestair.ClaimNotRun, nil)
		return unknown(azurestair.ReasonLedgerUnreachable)
	}
	if res.Code != azurestair.ResultGranted {
		return notGranted(res)
	}
	return c.sendClaimed(ctx, claim)
}

// fingerprint tells requests under the same key apart.
func (c *call) fingerprint() []byte {
	h := sha256.New()
	_, _ = io.WriteString(h, c.req.Method+" "+c.req.Path+"\n"+c.req.Header.Get("Content-Type")+"\n")
	_, _ = h.Write(c.body)
	return h.Sum(nil)
}

func (c *call) claim() azurestair.Claim {
	return azurestair.Claim{
		Service: c.work.Service, Operation: c.work.Operation, Key: c.req.Key, Fingerprint: c.fingerprint(),
		Instance: c.entry.self.ID, Incarnation: c.entry.self.Incarnation, Attempt: c.entry.attempts.Add(1),
		Deadline: azurestair.UnixMillisOf(c.work.Deadline),
		LeftMs:   azurestair.MillisOf(max(time.Millisecond, c.work.Deadline.Sub(c.entry.clock.Now()))),
	}
}

// refuseKeyed refuses a request that was not admitted. "Not run" is said of
// the request under its key, so that the ledger has the last word.
func (c *call) refuseKeyed(ctx context.Context, reason azurestair.Reason) caller.Reply {
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), queryWait)
	defer cancel()
	st, err := c.entry.ledger.QueryClaim(ctx, azurestair.ClaimQuery{Service: c.work.Service, Key: c.req.Key})
	switch {
	case err != nil:
		return unknown(azurestair.ReasonLedgerUnreachable)
	case st.Record == nil || st.Record.State == azurestair.ClaimNotRun:
		return refused(reason)
	case st.Record.Claim.Operation != c.work.Operation || !bytes.Equal(st.Record.Claim.Fingerprint, c.fingerprint()):
		return caller.Reply{Outcome: azurestair.OutcomeInvalid, Reason: azurestair.ReasonKeyReused}
	}
	return recorded(*st.Record)
}

// notGranted turns the ledger's refusal of a claim into a reply.
func notGranted(res azurestair.Result) caller.Reply {
	switch {
	case res.Code == azurestair.ResultFull:
		return refused(azurestair.ReasonLedgerFull)
	case res.Code == azurestair.ResultKeyReused:
		return caller.Reply{Outcome: azurestair.OutcomeInvalid, Reason: azurestair.ReasonKeyReused}
	case res.Code == azurestair.ResultRecorded && res.Record != nil:
		return recorded(*res.Record)
	}
	return caller.Reply{Outcome: azurestair.OutcomeInProgress, Reason: azurestair.ReasonInProgress, RetryAfter: retryAfter}
}

// recorded turns a record of the ledger into a reply.
func recorded(r azurestair.ClaimRecord) caller.Reply {
	switch r.State {
	case azurestair.ClaimHeld:
		return caller.Reply{Outcome: azurestair.OutcomeInProgress, Reason: azurestair.ReasonInProgress, RetryAfter: retryAfter}
	case azurestair.ClaimDone:
		return replay(r.Answer)
	case azurestair.ClaimNotRun:
		return refused(azurestair.ReasonConnect)
	}
	return unknown(azurestair.ReasonEntryLost)
}

func replay(a *azurestair.Answer) caller.Reply {
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

// sendClaimed sends a request whose claim this entry holds and records the outcome.
func (c *call) sendClaimed(ctx context.Context, claim azurestair.Claim) caller.Reply {
	reply := c.attempt(ctx, func() error {
		// A process that was frozen after it got the claim must not send late.
		if !c.entry.clock.Now().Before(c.work.Deadline) {
			return azurestair.ErrDeadline
		}
		return nil
	})
	if reply.Outcome != azurestair.OutcomeDone {
		c.freeSlot()
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

// recordDone reads the whole answer, records it and passes it on.
func (c *call) recordDone(claim azurestair.Claim, reply caller.Reply) caller.Reply {
	data, err := io.ReadAll(io.LimitReader(reply.Body, bufferLimit+1))
	if err != nil {
		_ = reply.Body.Close()
		c.freeSlot()
		c.record(claim, azurestair.ClaimUnknown, nil)
		return unknown(azurestair.ReasonBroken)
	}
	answer := azurestair.Answer{Status: reply.Status, Header: keptHeader(reply.Header)}
	if len(data) <= int(azurestair.MaxKeptAnswer) {
		answer.Body = data
	} else {
		answer.Dropped = true
	}
	rest := reply.Body
	if len(data) <= bufferLimit {
		// The upstream has finished; the slot need not wait for the ledger.
		_ = rest.Close()
		c.freeSlot()
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

// recordedBody passes on an answer that is too long to be held back and
// records the outcome of its claim at the end. An answer that breaks off must
// not be recorded as done, since a resend would then get it as complete.
type recordedBody struct {
	io.Reader
	rest     io.Closer
	call     *call
	claim    azurestair.Claim
	answer   *azurestair.Answer
	recorded bool
}

// Read reads the answer; only io.EOF marks a whole one.
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

// Close ends the answer; one with an unread rest did not reach the caller.
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

// keptHeaderBytes bounds the header fields that the ledger keeps of an answer.
const keptHeaderBytes = 2 << 10

// keptHeader returns the fields of an answer that are worth recording.
func keptHeader(h http.Header) map[string]string {
	out := map[string]string{}
	size := 0
	for _, name := range []string{"Content-Type", "Content-Language", "Content-Encoding", "Etag", "Location"} {
		value := h.Get(name)
		if size += len(name) + len(value); value != "" && size <= keptHeaderBytes {
			out[name] = value
		}
	}
	return out
}

// record has the outcome of a claim recorded and waits for it for a short
// time, within the caller's deadline.
func (c *call) record(claim azurestair.Claim, state azurestair.ClaimState, a *azurestair.Answer) {
	done := c.startRecord(claim, state, a)
	left := c.work.Deadline.Sub(c.entry.clock.Now()) - answerReserve
	t := time.NewTimer(max(0, min(recordWait, left)))
	defer t.Stop()
	select {
	case <-done:
	case <-t.C:
	}
}

// startRecord has the outcome of a claim recorded; the channel is closed when it is.
func (c *call) startRecord(claim azurestair.Claim, state azurestair.ClaimState, a *azurestair.Answer) <-chan struct{} {
	r := &recorder{ledger: c.entry.ledger, done: make(chan struct{}), finish: azurestair.ClaimFinish{
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

// recorder records one outcome, with tries until recordTimeout.
type recorder struct {
	ledger azurestair.Proposer
	finish azurestair.ClaimFinish
	done   chan struct{}
}

func (r *recorder) run() {
	defer close(r.done)
	ctx, cancel := context.WithTimeout(context.Background(), recordTimeout)
	defer cancel()
	_, _ = r.ledger.Propose(ctx, azurestair.Command{Finish: &r.finish})
}
