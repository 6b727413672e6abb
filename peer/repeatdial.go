package peer

import (
	"context"
	"net"
	"time"
)

const (
	// firstRedial is the time after which a dial that is still in progress is
	// made again beside it; the time doubles with each. An instance that is not up
	// yet drops the first packet, which the kernel sends again only after a
	// second, and then after two more.
	firstRedial = 250 * time.Millisecond
	// maxDials bounds the dials in progress. Over a saturated link each takes
	// seconds, and the first one is as good as the others.
	maxDials = 4
)

// repeatDial returns a dialer that makes a dial again while earlier ones to the
// same address are in progress, and uses the connection that is open first.
func repeatDial(dial Dialer, first time.Duration) Dialer {
	return func(ctx context.Context, addr string) (net.Conn, error) {
		ctx, cancel := context.WithCancel(ctx)
		defer cancel()
		type result struct {
			conn net.Conn
			err  error
		}
		results := make(chan result)
		start := func() {
			go func() {
				c, err := dial(ctx, addr)
				select {
				case results <- result{c, err}:
				case <-ctx.Done():
					if c != nil {
						_ = c.Close()
					}
				}
			}()
		}
		start()
		dials, interval := 1, first
		t := time.NewTimer(interval)
		defer t.Stop()
		for {
			select {
			case r := <-results:
				return r.conn, r.err
			case <-t.C:
				start()
				dials++
				if interval *= 2; dials < maxDials {
					t.Reset(interval)
				}
			case <-ctx.Done():
				return nil, ctx.Err()
			}
		}
	}
}
