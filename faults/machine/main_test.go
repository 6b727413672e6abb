package main

import (
	"os"
	"path/filepath"
	"testing"
	"time"

	. "github.com/onsi/gomega"
)

// Guards against a soak whose clocks are not off, or whose timers are.
func TestClockSteps(t *testing.T) {
	g := NewWithT(t)
	m := machine{dir: t.TempDir()}
	step := func(off time.Duration) {
		g.Expect(os.WriteFile(filepath.Join(m.dir, fileClock), []byte(off.String()), 0o600)).To(Succeed())
	}
	c := m.clock()
	g.Expect(c.Now().Unix() - time.Now().Unix()).To(BeNumerically("~", 0, 1))
	before := c.Now()
	for _, off := range []time.Duration{time.Hour, -time.Hour} {
		step(off)
		g.Eventually(func() int64 { return c.Now().Unix() - time.Now().Unix() }).Should(BeNumerically("~", off.Seconds(), 1))
		g.Expect(c.Now().Sub(before)).To(BeNumerically(">", 0))
		g.Expect(time.Until(c.Now())).To(BeNumerically("~", 0, time.Second))
	}
}
