package faults

import (
	"fmt"
	"os"
	"path/filepath"
	"time"

	. "github.com/onsi/gomega"
)

// clockMost is how far a clock is off at most.
const clockMost = 10 * time.Minute

// soakFaults are faults that only the soak has. Those of machines need a fleet
// that runs on such.
var soakFaults = []fault{
	{name: "entry's clock off", start: func(p *pair) func() { return p.setClock(p.take(true, p.entriesOnly())) }},
	{name: "leader's clock off", voter: true, start: func(p *pair) func() { return p.setClock(p.takeLeader()) }},
	{name: "disk stalled", voter: true, start: (*pair).stallDisk},
	{name: "disk full", voter: true, start: (*pair).fillDisk},
	{name: "configuration changed", start: (*pair).changeConfig},
}

// misbehave writes what the machine of an instance does from now on; empty for nothing.
func (n *node) misbehave(file, how string) {
	Expect(os.WriteFile(filepath.Join(n.dir, file), []byte(how), 0o600)).To(Succeed())
}

// setClock gives an instance another time of day, which stays, with or without
// a restart.
func (p *pair) setClock(n *node) func() {
	off := time.Duration(p.rng.Int64N(int64(2*clockMost))) - clockMost
	restart := p.rng.IntN(2) == 0
	if restart {
		n.kill()
	}
	n.misbehave("clock", off.Truncate(time.Second).String())
	if restart {
		n.start()
	}
	return func() {}
}

// stallDisk has the writes of a voter wait until the end of the fault.
func (p *pair) stallDisk() func() {
	n := p.take(false, p.voters())
	n.misbehave("disk", "stalled")
	return func() { n.misbehave("disk", "") }
}

// fillDisk fails a voter's writes. The voter ends rather than promise what it
// cannot store.
func (p *pair) fillDisk() func() {
	n := p.take(true, p.voters())
	n.misbehave("disk", "full")
	Expect(n.wait()).NotTo(Succeed(), "%s goes on without its disk", n.id)
	return func() {
		n.misbehave("disk", "")
		n.start()
	}
}

// changeConfig has an operator change the configuration, which all instances
// without a fault then work from.
func (p *pair) changeConfig() func() {
	at := shuffled(p.rng, p.free(p.nodes))[0]
	base := p.version(at)
	v := p.apply(at, base, fmt.Sprintf("soak-%d", base))
	return func() {
		Eventually(func() error { return p.inForce(v, p.free(p.nodes)...) }, "20s").Should(Succeed())
	}
}
