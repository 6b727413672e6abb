package peer

import (
	"context"
	"errors"
	"time"

	"azurestair.example/azurestair"
)

const methodQuota = "/" + serviceName + "/Quota"

// quotaTimeout bounds an ask for rate tokens. Requests wait for the answer for
// 150 ms at most; a later answer still renews the tokens that the entry holds.
const quotaTimeout = 400 * time.Millisecond

// AskQuota sends an ask to the instance that is believed to be the leader. It
// makes one attempt only, because two instances must not get the same ask. A
// failure moves the client on to another instance, except if the time is over:
// the leader may be slow, and reports have longer to find that out.
func (c *Client) AskQuota(ctx context.Context, ask azurestair.QuotaAsk) (azurestair.QuotaAnswer, error) {
	var answer azurestair.QuotaAnswer
	to, ok := c.targetPeer()
	if !ok {
		return answer, azurestair.NotLeaderError{}
	}
	err := c.callOnce(ctx, to, methodQuota, &ask, &answer, quotaTimeout)
	if err != nil && !isPermanent(err) && !errors.Is(err, azurestair.ErrDeadline) {
		c.updateLeader(to, err)
		c.advanceTarget(to, err)
	}
	return answer, err
}
