package faults

import (
	"fmt"
	"os"
	"path/filepath"
	"time"

	. "github.com/onsi/gomega"
)

// maxClockOffset limits the injected clock offsets in both directions.
const maxClockOffset = 10 * time.Minute

// soakOnlyFaults are the faults that only the soak test injects. The clock and
// disk faults need a fleet with injectMachineFaults.
var soakOnlyFaults = []fault{
	{name: "entry's clock off", start: func(run *faultRun) func() { return run.skewClock(run.pickInstance(true, run.entriesOnly())) }},
	{name: "leader's clock off", affectsVoter: true, start: func(run *faultRun) func() { return run.skewClock(run.pickLeader()) }},
	{name: "disk stalled", affectsVoter: true, start: (*faultRun).stallDisk},
	{name: "disk full", affectsVoter: true, start: (*faultRun).fillDisk},
	{name: "configuration changed", start: (*faultRun).changeConfig},
}

// setMachineFault writes a fault file of the program faults/machine. The empty
// value ends the fault.
func (n *node) setMachineFault(file, value string) {
	Expect(os.WriteFile(filepath.Join(n.dir, file), []byte(value), 0o600)).To(Succeed())
}

// skewClock sets a random offset of an instance's wall clock, while the process
// runs or before a restart. The offset remains when the fault ends.
func (run *faultRun) skewClock(n *node) func() {
	offset := time.Duration(run.rng.Int64N(int64(2*maxClockOffset))) - maxClockOffset
	restart := run.rng.IntN(2) == 0
	if restart {
		n.kill()
	}
	n.setMachineFault("clock", offset.Truncate(time.Second).String())
	if restart {
		n.start()
	}
	return func() {}
}

// stallDisk blocks the disk writes of a voter until the fault ends.
func (run *faultRun) stallDisk() func() {
	n := run.pickInstance(false, run.voters())
	n.setMachineFault("disk", "stalled")
	return func() { n.setMachineFault("disk", "") }
}

// fillDisk makes the disk writes of a voter fail, in some runs also while it
// starts. The voter must keep running, say so, and not lead. Once the disk takes
// data again, it must store the log without a restart.
func (run *faultRun) fillDisk() func() {
	n := run.pickInstance(false, run.voters())
	n.setMachineFault("disk", "full")
	if run.rng.IntN(3) == 0 {
		n.kill()
		n.start()
	}
	storeFull := func() (bool, error) {
		st, err := n.status()
		return st.Replica != nil && st.Replica.StoreFull && st.Replica.State != "leader", err
	}
	Eventually(storeFull, "20s").Should(BeTrue(), "%s does not report its full disk, or leads", n.id)
	return func() {
		n.setMachineFault("disk", "")
		Eventually(storeFull, "20s").Should(BeFalse(), "%s does not use its disk again", n.id)
		Expect(n.exited).NotTo(Receive(), "%s has exited because of its full disk", n.id)
	}
}

// changeConfig changes the configuration. The end of the fault checks that all
// instances without a fault use the new version.
func (run *faultRun) changeConfig() func() {
	via := shuffled(run.rng, run.unaffected(run.nodes))[0]
	base := run.version(via)
	v := run.apply(via, base, fmt.Sprintf("soak-%d", base))
	return func() {
		Eventually(func() error { return run.checkConfigVersion(v, run.unaffected(run.nodes)...) }, "20s").Should(Succeed())
	}
}
