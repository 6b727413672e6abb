package main

import (
	"os"
	"path/filepath"
	"testing"
	"time"

	. "github.com/onsi/gomega"
)

// Guards against an injected clock offset that does not reach the wall time, or
// that also changes the monotonic reading and with it the timers of an
// instance.
func TestClockSteps(t *testing.T) {
	g := NewWithT(t)
	injector := faultInjector{dir: t.TempDir()}
	setOffset := func(offset time.Duration) {
		g.Expect(os.WriteFile(filepath.Join(injector.dir, clockFile), []byte(offset.String()), 0o600)).To(Succeed())
	}
	c := injector.clock()
	g.Expect(c.Now().Unix() - time.Now().Unix()).To(BeNumerically("~", 0, 1))
	before := c.Now()
	for _, offset := range []time.Duration{time.Hour, -time.Hour} {
		setOffset(offset)
		g.Eventually(func() int64 { return c.Now().Unix() - time.Now().Unix() }).Should(BeNumerically("~", offset.Seconds(), 1))
		g.Expect(c.Now().Sub(before)).To(BeNumerically(">", 0))
		g.Expect(time.Until(c.Now())).To(BeNumerically("~", 0, time.Second))
	}
}
