package instance

import (
	"context"
	"fmt"
	"time"

	"azurestair.example/azurestair"
	"azurestair.example/azurestair/quota"
)

// quotaLimits is the leader's soft state of the rate limits. The zero value is
// that of an instance that has not led.
type quotaLimits struct {
	issuer *quota.Issuer
	// config is the configuration that the limits are from.
	config *azurestair.Config
}

// update starts anew in a new term, and takes over the limits of a changed
// configuration.
func (q *quotaLimits) update(term azurestair.Term, cfg *azurestair.Config, now time.Time) {
	if q.issuer == nil || q.issuer.Term() != term {
		q.issuer, q.config = quota.NewIssuer(term, now), nil
	}
	if q.config != cfg {
		q.issuer.SetLimits(quota.Limits(cfg), now)
		q.config = cfg
	}
}

// updateQuotas is called while this replica has a valid quorum lease, which all
// earlier leaders have lost.
func (r *Replica) updateQuotas(now time.Time) {
	r.quotas.update(r.leaderTerm, r.publishedConfig(), now)
}

// answerQuota answers an entry's ask for rate tokens.
func (r *Replica) answerQuota(ask azurestair.QuotaAsk, now time.Time) (azurestair.QuotaAnswer, error) {
	if err := r.checkReadable(now); err != nil {
		return azurestair.QuotaAnswer{}, err
	}
	if r.leaderTerm != r.node.Status().Term {
		return azurestair.QuotaAnswer{}, fmt.Errorf("%w: the leader is starting", azurestair.ErrNoQuorum)
	}
	r.updateQuotas(now)
	return r.quotas.issuer.Answer(ask, now)
}

// quotaStatus returns the state of the rate limits, or nothing if this instance
// is not the leader.
func (r *Replica) quotaStatus(now time.Time) []azurestair.QuotaStatus {
	if !r.node.IsLeader() || r.quotas.issuer == nil || r.quotas.issuer.Term() != r.node.Status().Term {
		return nil
	}
	return r.quotas.issuer.Status(now)
}

type quotaReply struct {
	answer azurestair.QuotaAnswer
	err    error
}

// quotaEvent carries an entry's ask for rate tokens to the leader.
type quotaEvent struct {
	ask   azurestair.QuotaAsk
	reply chan<- quotaReply
}

func (e quotaEvent) handle(c *Controller, now time.Time) {
	if c.replica == nil {
		e.reply <- quotaReply{err: azurestair.NotLeaderError{}}
		return
	}
	if c.replica.postpone(e, now) {
		return
	}
	answer, err := c.replica.answerQuota(e.ask, now)
	e.reply <- quotaReply{answer: answer, err: err}
}

// AskQuota answers an entry's ask for rate tokens if this instance is the
// leader.
func (c *Controller) AskQuota(ctx context.Context, ask azurestair.QuotaAsk) (azurestair.QuotaAnswer, error) {
	reply := make(chan quotaReply, 1)
	r, err := postAndWait(ctx, c, quotaEvent{ask: ask, reply: reply}, reply)
	if err != nil {
		return azurestair.QuotaAnswer{}, err
	}
	return r.answer, r.err
}
