package settings_test

import (
	"fmt"
	"strings"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"azurestair.example/azurestair"
	"azurestair.example/azurestair/settings"
)

const workspacesText = `
[[workspaces]]
name = "acme"
keys = ["key-one", "sha256:` + "2c26b46b68ffc68ff99b453c1d30413413422d706483bfa0f98a5e886266e7ae" + `"]
rank = "urgent"
homeRegions = ["kigali"]
ratePerSecond = 12.5
burst = 31

[[workspaces]]
name = "bell"
keys = ["key-two"]
`

var _ = Describe("workspaces in a fleet configuration file", func() {
	// Guards against a key whose digest is not the one that is looked up, and
	// against limits that are lost.
	It("are read with the digests of their keys", func() {
		cfg, err := settings.ParseFleet("f.toml", []byte(readText(fleetExample)+workspacesText))
		Expect(err).NotTo(HaveOccurred())
		rank := azurestair.RankUrgent
		Expect(cfg.Workspaces).To(Equal([]azurestair.Workspace{{
			Name: "acme", Keys: []azurestair.KeyDigest{azurestair.KeyDigestOf("key-one"), azurestair.KeyDigestOf("foo")},
			Rank: &rank, HomeRegions: []azurestair.RegionName{"kigali"}, RatePerSecond: 12.5, Burst: 31,
		}, {Name: "bell", Keys: []azurestair.KeyDigest{azurestair.KeyDigestOf("key-two")}}}))
	})

	// Guards against errors without a line, and against keys in errors, which
	// end up in logs.
	DescribeTable("with one fault give one error without a key",
		func(from, to, key, allowed string) {
			text, line := replaceOnce(readText(fleetExample)+workspacesText, from, to)
			_, err := settings.ParseFleet("f.toml", []byte(text))
			expectSingleError(err, line, key, allowed)
			Expect(err.Error()).NotTo(Or(ContainSubstring("key-one"), ContainSubstring("key-two"), ContainSubstring("2c26b46b")))
		},
		Entry("shared key", `"key-two"`, `"key-one"`, "workspaces[1].keys[0]", "a key of its own"),
		Entry("empty key", `"key-two"`, `""`, "workspaces[1].keys[0]", "allowed 1 to 256"),
		Entry("malformed digest", `"sha256:2c26`, `"sha256:2c2`, "workspaces[0].keys[1]", "malformed digest"),
		Entry("key of another type", `"key-two"`, `2`, "workspaces[1].keys[0]", "a string"),
		Entry("keys of another type", `["key-two"]`, `"key-two"`, "workspaces[1].keys", "a list"),
		Entry("name twice", `"bell"`, `"acme"`, "workspaces[1].name", "once"),
		Entry("malformed name", `"bell"`, `"be ll"`, "workspaces[1].name", "letters, digits"),
		Entry("unknown rank", `"urgent"
homeRegions`, `"high"
homeRegions`, "workspaces[0].rank", "urgent, interactive"),
		Entry("negative rate", `12.5`, `-1`, "workspaces[0].ratePerSecond", "0 to 10000000"),
		Entry("rate of another type", `12.5`, `"12"`, "workspaces[0].ratePerSecond", "a number"),
		Entry("endless burst", `burst = 31`, `burst = inf`, "workspaces[0].burst", "0 to 10000000"),
		Entry("unknown key", `burst = 31`, `bursts = 31`, "workspaces[0].bursts", "burst"),
		Entry("malformed home region", `["kigali"]
rate`, `[""]
rate`, "workspaces[0].homeRegions", "empty"),
	)

	// Guards against a limit of the file that the largest number of workspaces
	// exceeds.
	It("may be as many as the configuration allows", func() {
		var b strings.Builder
		b.WriteString(readText(fleetExample))
		for i := range azurestair.MaxWorkspaces {
			d, _ := azurestair.KeyDigestOf(fmt.Sprint("a", i)).MarshalText()
			e, _ := azurestair.KeyDigestOf(fmt.Sprint("b", i)).MarshalText()
			fmt.Fprintf(&b, "[[workspaces]]\nname = \"workspace-%05d\"\nkeys = [%q, %q]\nratePerSecond = 784\nburst = 784\n", i, d, e)
		}
		GinkgoWriter.Println("bytes:", b.Len())
		cfg, err := settings.ParseFleet("f.toml", []byte(b.String()))
		Expect(err).NotTo(HaveOccurred())
		Expect(cfg.Workspaces).To(HaveLen(azurestair.MaxWorkspaces))
	})
})
