package stdout

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"
)

// Guards against a log volume that grows with the load, and against suppressed
// lines that are not counted.
func TestLineLimit(t *testing.T) {
	g := NewWithT(t)
	var l LineLimiter
	expect := func(ms int64, allowed bool, suppressed int) {
		t.Helper()
		ok, n := l.Allow(2, time.UnixMilli(ms))
		g.Expect([]any{ok, n}).To(Equal([]any{allowed, suppressed}))
	}
	expect(1000, true, 0)
	expect(1001, true, 0)
	expect(1002, false, 0)
	expect(1999, false, 0)
	expect(2000, true, 2)
	expect(2001, true, 0)
}
