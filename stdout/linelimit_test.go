package stdout

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"
)

// Guards against a log that grows with the load, and against lines that are left
// out without a word.
func TestLineLimit(t *testing.T) {
	g := NewWithT(t)
	var l LineLimit
	expect := func(ms int64, allowed bool, folded int) {
		t.Helper()
		ok, n := l.Allow(2, time.UnixMilli(ms))
		g.Expect([]any{ok, n}).To(Equal([]any{allowed, folded}))
	}
	expect(1000, true, 0)
	expect(1001, true, 0)
	expect(1002, false, 0)
	expect(1999, false, 0)
	expect(2000, true, 2)
	expect(2001, true, 0)
}
