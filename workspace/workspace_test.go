package workspace_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"azurestair.example/azurestair"
	"azurestair.example/azurestair/workspace"
)

const (
	rejectFor = 1500 * time.Millisecond
	keyLease  = azurestair.Millis(4500)
)

var heardAt = time.Unix(1_700_000_000, 0)

func indexOf(list ...azurestair.Workspace) *workspace.Index {
	return workspace.NewIndex(&azurestair.Config{Workspaces: list})
}

func withKey(key string) workspace.Request {
	return workspace.Request{HasKey: true, Key: azurestair.KeyDigestOf(key)}
}

func withoutKey() workspace.Request { return workspace.Request{} }

// expectVerdict asserts the verdict on a request that arrives at an instance a
// time after its last contact with the leader.
func expectVerdict(x *workspace.Index, r workspace.Request, lease azurestair.Millis, after time.Duration, want workspace.Verdict) {
	ginkgo.GinkgoHelper()
	d := x.Decide(r, workspace.NewContact(heardAt, rejectFor, lease), heardAt.Add(after))
	Expect(d.Verdict).To(Equal(want))
	Expect(d.Identity != nil).To(Equal(want == workspace.Served))
}

var _ = ginkgo.Describe("the decision on a request", func() {
	rank := azurestair.RankUrgent
	acme := azurestair.Workspace{
		Name: "acme", Keys: []azurestair.KeyDigest{azurestair.KeyDigestOf("k1"), azurestair.KeyDigestOf("k2")},
		Rank: &rank, HomeRegions: []azurestair.RegionName{"huye", "kigali"},
	}
	x := indexOf(acme, azurestair.Workspace{Name: "empty"})
	public := workspace.Request{Public: true, HasKey: true, Key: azurestair.KeyDigestOf("nosuch")}

	// Guards against a wrong status for a key, and against a 401 from an
	// instance that may not know the newest configuration.
	ginkgo.DescribeTable("follows from its key and from the contact with the leader",
		func(r workspace.Request, lease azurestair.Millis, after time.Duration, want workspace.Verdict) {
			expectVerdict(x, r, lease, after, want)
		},
		ginkgo.Entry("known key", withKey("k1"), keyLease, time.Duration(0), workspace.Served),
		ginkgo.Entry("second key", withKey("k2"), keyLease, time.Duration(0), workspace.Served),
		ginkgo.Entry("known key, cut off for long, no lease", withKey("k1"), azurestair.Millis(0), time.Hour, workspace.Served),
		ginkgo.Entry("known key, just before the end of the lease", withKey("k1"), keyLease, keyLease.Duration()-1, workspace.Served),
		ginkgo.Entry("known key, at the end of the lease", withKey("k1"), keyLease, keyLease.Duration(), workspace.KeysUnknown),
		ginkgo.Entry("unknown key", withKey("nosuch"), keyLease, rejectFor, workspace.KeyUnknown),
		ginkgo.Entry("unknown key, newer configuration possible", withKey("nosuch"), keyLease, rejectFor+1, workspace.KeysUnknown),
		ginkgo.Entry("unknown key, no lease", withKey("nosuch"), azurestair.Millis(0), rejectFor+1, workspace.KeysUnknown),
		ginkgo.Entry("unknown key, short lease over", withKey("nosuch"), azurestair.Millis(500), time.Second, workspace.KeysUnknown),
		ginkgo.Entry("key in another case", withKey("K1"), keyLease, time.Duration(0), workspace.KeyUnknown),
		ginkgo.Entry("digest in place of a key", withKey("sha256:"+hexOf("k1")), keyLease, time.Duration(0), workspace.KeyUnknown),
		ginkgo.Entry("no key", withoutKey(), keyLease, rejectFor, workspace.KeyMissing),
		ginkgo.Entry("no key, newer configuration possible", withoutKey(), keyLease, rejectFor+1, workspace.KeysUnknown),
		ginkgo.Entry("public route", public, keyLease, time.Hour, workspace.Open),
	)

	// Guards against requests of deployments without workspaces that are
	// rejected for want of a key.
	ginkgo.It("needs no key without workspaces", func() {
		var none *workspace.Index
		for _, x := range []*workspace.Index{none, {}, indexOf()} {
			expectVerdict(x, withKey("k1"), keyLease, time.Hour, workspace.Open)
			expectVerdict(x, withoutKey(), keyLease, time.Hour, workspace.Open)
		}
	})

	// Guards against open access while all keys of the only workspace are
	// revoked.
	ginkgo.It("needs a key if the workspaces have none", func() {
		expectVerdict(indexOf(azurestair.Workspace{Name: "empty"}), withoutKey(), 0, 0, workspace.KeyMissing)
	})

	// Guards against a stored snapshot from which an instance serves revoked
	// keys before any leader has answered.
	ginkgo.It("is left to others before any leader has answered", func() {
		never := func(lease azurestair.Millis) workspace.Contact {
			return workspace.NewContact(time.Time{}, rejectFor, lease)
		}
		Expect(x.Decide(withKey("k1"), never(keyLease), heardAt).Verdict).To(Equal(workspace.KeysUnknown))
		Expect(x.Decide(withKey("nosuch"), never(0), heardAt).Verdict).To(Equal(workspace.KeysUnknown))
		Expect(x.Decide(withKey("k1"), never(0), heardAt).Verdict).To(Equal(workspace.Served))
		// A clock that starts at the zero time must not make the lease valid.
		Expect(x.Decide(withKey("k1"), never(keyLease), time.Time{}).Verdict).To(Equal(workspace.KeysUnknown))
	})

	assigned := func(homes ...azurestair.RegionName) (azurestair.RequestInfo, azurestair.Reason) {
		work := azurestair.RequestInfo{Caller: "10.0.0.0/24", Rank: azurestair.RankDeferred, HomeRegions: homes}
		reason := x.Find(azurestair.KeyDigestOf("k1")).Assign(&work)
		return work, reason
	}

	// Guards against requests that run outside the home regions of the workspace
	// or of the route.
	ginkgo.DescribeTable("applies the home regions of the route and of the workspace",
		func(route, want []azurestair.RegionName, reason azurestair.Reason) {
			work, got := assigned(route...)
			Expect(got).To(Equal(reason))
			if reason == azurestair.ReasonNone {
				Expect(work.HomeRegions).To(Equal(want))
			}
		},
		ginkgo.Entry("route without", nil, acme.HomeRegions, azurestair.ReasonNone),
		ginkgo.Entry("one in common", []azurestair.RegionName{"musanze", "kigali"}, []azurestair.RegionName{"kigali"}, azurestair.ReasonNone),
		ginkgo.Entry("none in common", []azurestair.RegionName{"musanze"}, nil, azurestair.ReasonHomeRegions),
	)

	// Guards against a caller that takes the fair share of a workspace by using
	// its name.
	ginkgo.It("assigns name, rank and fair share", func() {
		work, _ := assigned()
		Expect([]any{work.Workspace, work.Rank}).To(Equal([]any{acme.Name, azurestair.RankUrgent}))
		Expect(azurestair.CheckName("caller", string(work.Caller))).NotTo(Succeed())
	})
})

func hexOf(key string) string {
	text, _ := azurestair.KeyDigestOf(key).MarshalText()
	return string(text[len("sha256:"):])
}

// manyWorkspaces returns a configuration with n workspaces of two keys.
func manyWorkspaces(n int) *azurestair.Config {
	cfg := &azurestair.Config{}
	for i := range n {
		w := azurestair.Workspace{Name: azurestair.WorkspaceName(fmt.Sprintf("w%d", i))}
		for k := range 2 {
			w.Keys = append(w.Keys, azurestair.KeyDigestOf(fmt.Sprintf("key-%d-%d", i, k)))
		}
		cfg.Workspaces = append(cfg.Workspaces, w)
	}
	return cfg
}

// TestDecideAllocates guards against allocations for each request.
func TestDecideAllocates(t *testing.T) {
	x := workspace.NewIndex(manyWorkspaces(10_000))
	c := workspace.NewContact(heardAt, rejectFor, keyLease)
	key := "key-9999-1"
	allocs := testing.AllocsPerRun(100, func() {
		if x.Decide(withKey(key), c, heardAt).Verdict != workspace.Served {
			t.Fatal("key not found")
		}
	})
	if allocs != 0 {
		t.Fatalf("%v allocations; allowed 0", allocs)
	}
}

func BenchmarkDecide(b *testing.B) {
	for _, n := range []int{84, 10_000} {
		x := workspace.NewIndex(manyWorkspaces(n))
		c := workspace.NewContact(heardAt, rejectFor, keyLease)
		keys := make([]string, n)
		digests := make([]workspace.Request, n)
		for i := range keys {
			keys[i] = fmt.Sprintf("key-%d-1", i)
			digests[i] = withKey(keys[i])
		}
		b.Run(fmt.Sprintf("workspaces=%d/digest", n), func(b *testing.B) {
			b.ReportAllocs()
			for i := range b.N {
				x.Decide(digests[i%n], c, heardAt)
			}
		})
		b.Run(fmt.Sprintf("workspaces=%d/key", n), func(b *testing.B) {
			b.ReportAllocs()
			for i := range b.N {
				x.Decide(withKey(keys[i%n]), c, heardAt)
			}
		})
	}
}

func BenchmarkNewIndex(b *testing.B) {
	cfg := manyWorkspaces(10_000)
	for b.Loop() {
		workspace.NewIndex(cfg)
	}
}
