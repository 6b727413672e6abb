package azurestair

import (
	"context"
	"fmt"
)

// Tokens is a number of requests that may be sent to upstreams.
type Tokens int64

const (
	// MaxQuotaDemands is the maximum number of workspaces in one QuotaAsk.
	MaxQuotaDemands = 512
	// maxQuotaTokens bounds each number of tokens in a message, so that sums over
	// all entries do not overflow.
	maxQuotaTokens = 100 * MaxWorkspaceRate
	// maxQuotaDelayMs bounds the times in a QuotaGrant.
	maxQuotaDelayMs Millis = 60_000
)

// QuotaAsker asks the leader for rate tokens. An ask is sent to one instance
// only and is not repeated.
type QuotaAsker interface {
	AskQuota(ctx context.Context, ask QuotaAsk) (QuotaAnswer, error)
}

// QuotaStatus is what the leader knows of the rate limit of a workspace.
type QuotaStatus struct {
	Workspace WorkspaceName `cbor:"1,keyasint" json:"workspace"`
	Limit     PerSecond     `cbor:"2,keyasint" json:"limit"`
	// Rate is the rate of the admitted requests in the last second.
	Rate PerSecond `cbor:"3,keyasint" json:"rate"`
	// Leased is the number of tokens that entries hold, and Available the number
	// of those that can still be leased.
	Leased    Tokens `cbor:"4,keyasint" json:"leased"`
	Available Tokens `cbor:"5,keyasint" json:"available"`
	// Admitted counts the requests that used a token since the term of the leader
	// began. OverLimit are those refused because the workspace was over its limit,
	// Unreachable those whose entry got no answer or no token in time.
	Admitted    Tokens `cbor:"6,keyasint" json:"admitted"`
	OverLimit   Tokens `cbor:"7,keyasint" json:"overLimit"`
	Unreachable Tokens `cbor:"8,keyasint" json:"unreachable"`
}

// QuotaAsk is the request of an entry for rate tokens.
type QuotaAsk struct {
	Holder      InstanceID  `cbor:"1,keyasint" json:"holder"`
	Incarnation Incarnation `cbor:"2,keyasint" json:"incarnation"`
	// Sequence increases with each ask of an incarnation.
	Sequence Sequence `cbor:"3,keyasint" json:"sequence"`
	// Term is the term of the last answer that the holder has processed.
	Term    Term          `cbor:"4,keyasint,omitempty" json:"term,omitempty"`
	Demands []QuotaDemand `cbor:"5,keyasint,omitempty" json:"demands,omitempty"`
}

// QuotaDemand is the part of a QuotaAsk for one workspace.
type QuotaDemand struct {
	Workspace WorkspaceName `cbor:"1,keyasint" json:"workspace"`
	// Answered is the last ask with this workspace that the leader of
	// QuotaAsk.Term has answered. Tokens of other answers never arrived.
	Answered Sequence `cbor:"2,keyasint,omitempty" json:"answered,omitempty"`
	// Held is the number of unused tokens that the holder keeps. Tokens that it
	// returns are not included.
	Held Tokens `cbor:"3,keyasint,omitempty" json:"held,omitempty"`
	// Used is the number of tokens used since the ask Answered.
	Used Tokens `cbor:"4,keyasint,omitempty" json:"used,omitempty"`
	// Waiting is the number of requests that wait for a token, or were refused
	// since the last ask for lack of one.
	Waiting Tokens `cbor:"5,keyasint,omitempty" json:"waiting,omitempty"`
	// Ahead is the number of further tokens that the holder expects to need.
	Ahead Tokens `cbor:"6,keyasint,omitempty" json:"ahead,omitempty"`
	// OverLimit and Unreachable are the requests refused for the respective
	// reason since the ask Answered.
	OverLimit   Tokens `cbor:"7,keyasint,omitempty" json:"overLimit,omitempty"`
	Unreachable Tokens `cbor:"8,keyasint,omitempty" json:"unreachable,omitempty"`
}

// QuotaAnswer is the leader's answer to a QuotaAsk.
type QuotaAnswer struct {
	Term     Term     `cbor:"1,keyasint" json:"term"`
	Sequence Sequence `cbor:"2,keyasint" json:"sequence"`
	// Grants has one element for each demand of the ask, in the same order.
	Grants []QuotaGrant `cbor:"3,keyasint,omitempty" json:"grants,omitempty"`
}

// QuotaGrant is the answer to one QuotaDemand.
type QuotaGrant struct {
	// Granted is the number of further tokens. All tokens that the holder has
	// then expire together.
	Granted Tokens `cbor:"1,keyasint,omitempty" json:"granted,omitempty"`
	// Revoked is the number of held tokens that are not renewed because the limit
	// was lowered.
	Revoked Tokens `cbor:"2,keyasint,omitempty" json:"revoked,omitempty"`
	// Unlimited is true if the workspace has no rate limit.
	Unlimited bool `cbor:"3,keyasint,omitempty" json:"unlimited,omitempty"`
	// Scarce is true if other entries lack tokens that are held unused.
	Scarce bool `cbor:"4,keyasint,omitempty" json:"scarce,omitempty"`
	// OverLimit is true if the workspace has used up its tokens.
	OverLimit bool `cbor:"5,keyasint,omitempty" json:"overLimit,omitempty"`
	// NextMs is the time until the next token is available, and RetryAfterMs the
	// time until a refused request would find one.
	NextMs       Millis `cbor:"6,keyasint,omitempty" json:"nextMs,omitempty"`
	RetryAfterMs Millis `cbor:"7,keyasint,omitempty" json:"retryAfterMs,omitempty"`
}

// Validate checks the ask.
func (a QuotaAsk) Validate() error {
	if err := CheckName("holder", string(a.Holder)); err != nil {
		return err
	}
	if a.Sequence == 0 {
		return fmt.Errorf("%w: quota ask without sequence", ErrInvalid)
	}
	seen := make(map[WorkspaceName]bool, min(len(a.Demands), MaxQuotaDemands))
	for _, d := range a.Demands {
		if seen[d.Workspace] {
			return fmt.Errorf("%w: workspace %s is listed twice", ErrInvalid, d.Workspace)
		}
		seen[d.Workspace] = true
		if len(seen) > MaxQuotaDemands {
			break
		}
	}
	return validateAll("quota demands", a.Demands, MaxQuotaDemands)
}

// Validate checks the demand.
func (d QuotaDemand) Validate() error {
	for _, n := range []Tokens{d.Held, d.Used, d.Waiting, d.Ahead, d.OverLimit, d.Unreachable} {
		if n < 0 || n > maxQuotaTokens {
			return fmt.Errorf("%w: quota demand of %d tokens; allowed 0 to %d", ErrInvalid, n, maxQuotaTokens)
		}
	}
	return CheckName("workspace", string(d.Workspace))
}

// Validate checks the answer.
func (a QuotaAnswer) Validate() error { return validateAll("quota grants", a.Grants, MaxQuotaDemands) }

// Validate checks the grant.
func (g QuotaGrant) Validate() error {
	for _, n := range []Tokens{g.Granted, g.Revoked} {
		if n < 0 || n > maxQuotaTokens {
			return fmt.Errorf("%w: quota grant of %d tokens; allowed 0 to %d", ErrInvalid, n, maxQuotaTokens)
		}
	}
	for _, ms := range []Millis{g.NextMs, g.RetryAfterMs} {
		if ms < 0 || ms > maxQuotaDelayMs {
			return fmt.Errorf("%w: delay of %d ms in a quota grant; allowed 0 to %d", ErrInvalid, ms, maxQuotaDelayMs)
		}
	}
	return nil
}
