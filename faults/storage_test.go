package faults

import (
	"context"
	"fmt"
	"math/rand/v2"
	"os"
	"path/filepath"
	"slices"
	"sync"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"azurestair.example/azurestair"
	"azurestair.example/azurestair/operator"
)

// changesBeforeRestart is the number of changes that the fleet accepts before
// all instances restart.
const changesBeforeRestart = 500

// maxControlTTL bounds how long an instance remains ready after a response of
// the leader: 3 s, and 1 s of tolerance for a busy machine.
const maxControlTTL = 4 * time.Second

// shortRunVersions is how many of the changesBeforeRestart changes create a
// configuration version in a run without -faults.long. The others are drains,
// for which an operator does not wait until the instances have applied them.
const shortRunVersions = 50

var _ = Describe("storage", func() {
	// Guards against a voter that votes again after it has lost its persistent
	// state, a torn write that prevents a voter's restart or loses accepted
	// changes, and corrupt data that is read as valid log records.
	It("of a voter is lost, torn or damaged", func() {
		forEachSeed(func(rng *rand.Rand) {
			f := newFleet(fleetOptions{})
			v := f.applyMany(1, 20)
			victim := f.voters()[rng.IntN(len(controlLocations))]
			other := f.others(victim)[0]

			// The test tears a record that was already synced. The log survives
			// this because both other voters have a copy. If only one of them
			// had a copy, the change could be lost, which no replicated log can
			// prevent.
			Eventually(f.checkSameApplied, "20s").Should(Succeed())
			victim.kill()
			tearLastRecord(rng, victim)
			victim.start()
			v = f.applyMany(v, 5)
			Eventually(f.checkConfigVersion, "20s").WithArguments(v, victim, other).Should(Succeed())

			victim.kill()
			appendGarbage(rng, victim)
			victim.start()
			v = f.applyMany(v, 5)
			Eventually(f.checkConfigVersion, "20s").WithArguments(v, victim, other).Should(Succeed())

			victim.kill()
			name := flipByte(rng, victim)
			victim.start()
			Expect(victim.waitExit()).NotTo(Succeed(), "started from damaged data")
			Expect(victim.logTail()).To(And(ContainSubstring("corrupt"), ContainSubstring(name), ContainSubstring("offset")))

			Expect(os.RemoveAll(victim.dataDir())).To(Succeed())
			victim.start()
			Expect(victim.waitExit()).NotTo(Succeed(), "started without its data")
			Expect(victim.logTail()).To(ContainSubstring("identity"))
			Expect(f.version(other)).To(Equal(v))
			Expect(f.acceptedChanges(other)).To(Equal(int(v)))
		})
	})

	// Guards against an instance that has applied a change which the log has
	// lost, and that rejects every later snapshot without saying why. The test
	// truncates the synced copies of a change on both voters that have it, a
	// loss that the log cannot survive.
	It("that loses an accepted change is reported by the instances that have it", func() {
		forEachSeed(func(rng *rand.Rand) {
			f := newFleet(fleetOptions{})
			v := f.applyMany(1, 3)
			leader := f.leader()
			behind := shuffled(rng, f.others(append([]*node{leader}, f.entriesOnly()...)...))[0]
			Eventually(f.checkSameApplied, "20s").Should(Succeed())
			// This voter is killed rather than suspended. A suspended voter
			// would read the change from its connection once resumed, and the
			// change would not be lost.
			behind.kill()
			entry := f.entriesOnly()[0]
			v = f.apply(entry, v, "lost")
			Eventually(f.checkConfigVersion, "20s").WithArguments(v, entry).Should(Succeed())
			holders := f.others(append([]*node{behind}, f.entriesOnly()...)...)
			for _, n := range holders {
				n.kill()
			}
			for _, n := range holders {
				tearLastRecord(rng, n)
				n.start()
			}
			behind.start()
			Eventually(entry.logTail, "20s").Should(ContainSubstring("the log has lost an accepted configuration"))
			// A new leader publishes nothing in its grace period. Its responses
			// until then let the instance trust its configuration for the
			// control TTL.
			Eventually(entry.checkReady, maxControlTTL).ShouldNot(Succeed())
			Consistently(entry.checkReady, "1s").ShouldNot(Succeed())
		})
	})

	// Guards against changes that are lost or only partly restored when every
	// instance restarts after hundreds of changes, and against a fleet that
	// does not survive the loss of a second voter right after the first one has
	// caught up.
	It("keeps all changes over restarts", func() {
		forEachSeed(func(rng *rand.Rand) {
			f := newFleet(fleetOptions{})
			versions := changesBeforeRestart
			if !*longFlag {
				versions = shortRunVersions
				f.drainMany(changesBeforeRestart - versions)
			}
			v := f.applyMany(1, versions)
			Expect(v).To(Equal(azurestair.ConfigVersion(1 + versions)))
			audit := len(f.auditTrail(f.nodes[0]))
			for _, n := range f.nodes {
				n.kill()
			}
			for _, n := range shuffled(rng, f.nodes) {
				n.start()
			}
			Eventually(f.checkReady, "20s").Should(Succeed())
			Expect(f.checkConfigVersion(v, f.nodes...)).To(Succeed())
			Expect(f.auditTrail(f.nodes[rng.IntN(numInstances)])).To(HaveLen(audit))

			for range len(controlLocations) {
				v = f.killSecondAfterFirst(rng, v)
			}
			Eventually(f.checkReady, "20s").Should(Succeed())
			Expect(f.auditTrail(f.nodes[0])).To(HaveLen(audit + int(v) - 1 - versions))
		})
	})
})

// killSecondAfterFirst kills a voter, makes changes, restarts the voter and
// kills another one as soon as the first has the newest version.
func (f *fleet) killSecondAfterFirst(rng *rand.Rand, v azurestair.ConfigVersion) azurestair.ConfigVersion {
	order := shuffled(rng, f.voters())
	first, second := order[0], order[1]
	first.kill()
	v = f.applyMany(v, 3)
	first.start()
	Eventually(f.checkConfigVersion, "20s").WithArguments(v, first).Should(Succeed())
	second.kill()
	Expect(f.version(order[2])).To(Equal(v))
	v = f.applyMany(v, 3)
	second.start()
	Eventually(f.checkConfigVersion, "20s").WithArguments(v, f.voters()[0], f.voters()[1], f.voters()[2]).Should(Succeed())
	return v
}

// applyMany makes n changes and returns the last version.
func (f *fleet) applyMany(v azurestair.ConfigVersion, n int) azurestair.ConfigVersion {
	via := f.entriesOnly()[0]
	for range n {
		v = f.apply(via, v, fmt.Sprintf("many-%d", v))
	}
	return v
}

// drainOperators is the number of operators that drain concurrently.
const drainOperators = 10

// drainMany makes n changes that alternately drain and undrain upstreams that
// do not exist.
func (f *fleet) drainMany(n int) {
	var wg sync.WaitGroup
	for d := range drainOperators {
		via := f.nodes[d%numInstances].operatorClient()
		wg.Go(func() {
			defer GinkgoRecover()
			for i := range n / drainOperators {
				req := operator.DrainRequest{
					ChangeID: azurestair.ChangeID(fmt.Sprintf("drain-%d-%d", d, i)), Reason: "test",
					Target: azurestair.Target{Kind: azurestair.TargetUpstream, Name: fmt.Sprintf("gone-%d", d)},
				}
				call := via.Drain
				if i%2 == 1 {
					call = via.Undrain
				}
				_, err := call(context.Background(), req)
				Expect(err).NotTo(HaveOccurred())
			}
		})
	}
	wg.Wait()
}

// checkSameApplied returns an error unless all voters have applied the same
// number of log entries.
func (f *fleet) checkSameApplied() error {
	var applied []azurestair.Index
	for _, n := range f.voters() {
		st, err := n.operatorClient().Status(context.Background())
		if err != nil {
			return err
		}
		if st.Replica == nil {
			return fmt.Errorf("%s has no replica", n.id)
		}
		applied = append(applied, st.Replica.Applied)
	}
	if slices.Min(applied) != slices.Max(applied) {
		return fmt.Errorf("applied indexes of the voters differ: %v", applied)
	}
	return nil
}

// lastSegment returns the path of the newest log segment in the data directory.
func lastSegment(n *node) string {
	names, err := filepath.Glob(filepath.Join(n.dataDir(), "log-*"))
	Expect(err).NotTo(HaveOccurred())
	Expect(names).NotTo(BeEmpty())
	return slices.Max(names)
}

// tearLastRecord truncates the last record of the log, as a crash during a
// write does.
func tearLastRecord(rng *rand.Rand, n *node) {
	name := lastSegment(n)
	info, err := os.Stat(name)
	Expect(err).NotTo(HaveOccurred())
	Expect(os.Truncate(name, info.Size()-1-rng.Int64N(16))).To(Succeed())
}

// appendGarbage appends random bytes to the log, like an incomplete record.
func appendGarbage(rng *rand.Rand, n *node) {
	file, err := os.OpenFile(lastSegment(n), os.O_APPEND|os.O_WRONLY, 0)
	Expect(err).NotTo(HaveOccurred())
	defer file.Close()
	garbage := make([]byte, 1+rng.IntN(12))
	for i := range garbage {
		garbage[i] = byte(rng.Uint32())
	}
	_, err = file.Write(garbage)
	Expect(err).NotTo(HaveOccurred())
}

// flipByte flips one bit in the middle half of the last log segment and returns
// the file name.
func flipByte(rng *rand.Rand, n *node) string {
	name := lastSegment(n)
	data, err := os.ReadFile(name)
	Expect(err).NotTo(HaveOccurred())
	data[len(data)/4+rng.IntN(len(data)/2)] ^= 1 << rng.IntN(8)
	Expect(os.WriteFile(name, data, 0o600)).To(Succeed())
	return filepath.Base(name)
}

// Guards against a fleet that elects a leader to which no instance reports: after
// all instances have stopped, the settings name only a control instance that is
// not a voter.
var _ = Describe("settings", func() {
	It("that name no voter after all instances were killed are no obstacle to finding the leader", func() {
		f := newFleet(fleetOptions{})
		spare := f.addSpare()
		version := f.apply(f.nodes[0], f.version(f.nodes[0]), "before")
		Eventually(func() error { return f.checkConfigVersion(version, spare) }, 10*time.Second).Should(Succeed())
		for _, v := range f.voters() {
			Eventually(func() (string, error) {
				data, err := os.ReadFile(filepath.Join(v.dataDir(), "contacts"))
				return string(data), err
			}, 10*time.Second).Should(ContainSubstring(string(spare.id)))
		}
		restarted := append(slices.Clone(f.entriesOnly()), spare)
		for _, n := range append(slices.Clone(f.nodes), spare) {
			n.kill()
		}
		for _, n := range restarted {
			n.controlRelays[spare.id] = f.newRelay(spare.peerAddr)
			n.writeSettings([]*node{spare})
		}
		for _, n := range slices.Concat(f.voters(), restarted) {
			n.start()
		}
		Eventually(func() error { return f.checkConfigVersion(version, restarted...) }, 10*time.Second).Should(Succeed())
	})
})
