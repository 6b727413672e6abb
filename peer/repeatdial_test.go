package peer

import (
	"context"
	"errors"
	"net"
	"sync/atomic"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

// Guards against an instance that stays unreachable for a second or more after
// its start, because the first packet of a connection came before it was up.
var _ = Describe("a dial to an instance that is starting", func() {
	const interval = 5 * time.Millisecond

	// dialer answers the dial with the given number and lets all others wait for
	// the end of their context. It counts the dials and those that ended.
	type dialer struct {
		answered       int32
		conn           net.Conn
		err            error
		started, ended atomic.Int32
	}
	dial := func(d *dialer) Dialer {
		return repeatDial(func(ctx context.Context, _ string) (net.Conn, error) {
			defer d.ended.Add(1)
			if d.started.Add(1) == d.answered {
				return d.conn, d.err
			}
			<-ctx.Done()
			return nil, ctx.Err()
		}, interval)
	}
	expectAllEnded := func(d *dialer, n int) {
		GinkgoHelper()
		Expect(d.started.Load()).To(BeEquivalentTo(n))
		Eventually(d.ended.Load).Should(BeEquivalentTo(n))
	}

	It("is made again beside the first one", func() {
		conn, _ := net.Pipe()
		d := &dialer{answered: 2, conn: conn}
		Expect(dial(d)(context.Background(), "a")).To(BeIdenticalTo(conn))
		expectAllEnded(d, 2)
	})
	It("is made a bounded number of times", func() {
		d := &dialer{}
		ctx, cancel := context.WithTimeout(context.Background(), 40*interval)
		defer cancel()
		_, err := dial(d)(ctx, "a")
		Expect(err).To(MatchError(context.DeadlineExceeded))
		expectAllEnded(d, maxDials)
	})
	It("that is refused fails at once", func() {
		refused := errors.New("refused")
		d := &dialer{answered: 1, err: refused}
		_, err := dial(d)(context.Background(), "a")
		Expect(err).To(MatchError(refused))
		expectAllEnded(d, 1)
	})
	It("closes a connection that is open too late", func() {
		conn, other := net.Pipe()
		opened := make(chan struct{})
		slow := repeatDial(func(ctx context.Context, _ string) (net.Conn, error) {
			<-ctx.Done()
			defer close(opened)
			return conn, nil
		}, time.Hour)
		ctx, cancel := context.WithCancel(context.Background())
		cancel()
		_, err := slow(ctx, "a")
		Expect(err).To(MatchError(context.Canceled))
		<-opened
		_, err = other.Read(make([]byte, 1))
		Expect(err).To(HaveOccurred())
	})
})
