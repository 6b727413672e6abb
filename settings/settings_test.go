package settings_test

import (
	"crypto/sha256"
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"reflect"
	"regexp"
	"strings"
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"azurestair.example/azurestair"
	"azurestair.example/azurestair/settings"
)

func TestSettings(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "settings")
}

const (
	controlExample = "../examples/inkingi/entry-1.toml"
	fleetExample   = "../examples/inkingi/fleet.toml"
)

func readText(path string) string {
	GinkgoHelper()
	data, err := os.ReadFile(path)
	Expect(err).NotTo(HaveOccurred())
	return string(data)
}

// operatorHash returns the hash of the operator token in the example files.
func operatorHash() string {
	return fmt.Sprintf("%x", sha256.Sum256([]byte("example-operator-token")))
}

// replaceOnce replaces the first occurrence of from and returns its line.
func replaceOnce(text, from, to string) (string, int) {
	GinkgoHelper()
	before, after, ok := strings.Cut(text, from)
	Expect(ok).To(BeTrue(), from)
	return before + to + after, 1 + strings.Count(before, "\n")
}

// expectSingleError checks that err holds exactly one error, with the line, the
// key and the allowed values.
func expectSingleError(err error, line int, key, allowed string) {
	GinkgoHelper()
	Expect(err).To(MatchError(azurestair.ErrInvalid))
	var errs settings.Errors
	Expect(errors.As(err, &errs)).To(BeTrue())
	Expect(errs).To(HaveLen(1), err.Error())
	Expect(errs[0].File).To(Equal("f.toml"))
	Expect(errs[0].Line).To(Equal(line), err.Error())
	Expect(errs[0].Key).To(Equal(key), err.Error())
	Expect(errs[0].Detail).To(ContainSubstring(allowed))
}

var _ = Describe("example files", func() {
	// Guards against example files that a later, stricter check rejects.
	It("all load", func() {
		paths, err := filepath.Glob("../examples/*/*.toml")
		Expect(err).NotTo(HaveOccurred())
		Expect(len(paths)).To(BeNumerically(">=", 6))
		for _, path := range paths {
			if filepath.Base(path) == "fleet.toml" {
				_, err = settings.LoadFleet(path)
			} else {
				_, err = settings.Load(path)
			}
			Expect(err).NotTo(HaveOccurred())
		}
	})

	It("give the link of Addis its 280 Mbit/s in bytes", func() {
		c, err := settings.LoadFleet("../examples/addis/fleet.toml")
		Expect(err).NotTo(HaveOccurred())
		Expect(c.Links).To(HaveLen(6))
		Expect(c.Links[0].Limit).To(Equal(azurestair.BytesPerSecond(35_000_000)))
	})
})

var _ = Describe("a settings file", func() {
	// Guards against errors that are not reported, or reported without line and
	// key.
	DescribeTable("with one fault gives one error with line and key",
		func(from, to, key, allowed string) {
			text, line := replaceOnce(readText(controlExample), from, to)
			_, err := settings.Parse("f.toml", []byte(text))
			expectSingleError(err, line, key, allowed)
		},
		Entry("unknown key", `failureDomain =`, "failuredomain = 1\nfailureDomain =", "instance.failuredomain", "failureDomain"),
		Entry("unknown table", `[log]`, "[logs]", "logs", "log"),
		Entry("wrong type", `id = "entry-1"`, `id = 1`, "instance.id", "a string"),
		Entry("bad name", `id = "entry-1"`, `id = "entry 1"`, "instance.id", "letters"),
		Entry("unknown role", `"control"]`, `"voter"]`, "instance.roles[1]", "entry, control"),
		Entry("host name", `"127.0.0.1:7111"`, `"localhost:7111"`, "listen.callers", "IP address"),
		Entry("unspecified address", `"127.0.0.1:7111"`, `"0.0.0.0:7111"`, "listen.callers", "IP address"),
		Entry("shared address", `"127.0.0.1:7112"`, `"127.0.0.1:7111"`, "listen.upstreams", "listen.callers"),
		Entry("voter listed twice", `{ id = "entry-3"`, `{ id = "entry-2"`, "control.voters[2].id", "once"),
		Entry("missing TLS file", `[tokens]`, "[tls]\ncertFile = \"a\"\nkeyFile = \"b\"\n[tokens]", "tls.caFile", "together"),
		Entry("plain token", operatorHash(), "example-operator-token", "tokens.operators[0].sha256", "plain tokens"),
		Entry("limit out of range", `shutdownGraceMs = 20000`, `shutdownGraceMs = 0`, "limits.shutdownGraceMs", "1 to 600000"),
		Entry("log format", `level = "info"`, `format = "json"`, "log.format", "logfmt"),
		Entry("not TOML", `level = "info"`, `level = `, "log.level", "not TOML"),
	)

	// Guards against a plain token that is logged as part of an error.
	It("keeps a plain token out of the error", func() {
		text, _ := replaceOnce(readText(controlExample), operatorHash(), "secret-token")
		_, err := settings.Parse("f.toml", []byte(text))
		Expect(err.Error()).NotTo(ContainSubstring("secret-token"))
	})

	// Guards against reporting only the first error of a file.
	It("reports all faults of an empty file", func() {
		_, err := settings.Parse("f.toml", nil)
		Expect(err).To(BeAssignableToTypeOf(settings.Errors{}))
		for _, key := range []string{"instance.id", "instance.roles", "listen.peers", "control.voters"} {
			Expect(err.Error()).To(ContainSubstring("f.toml:1: " + key + ": "))
		}
	})

	It("must list a control instance with its own address", func() {
		text, line := replaceOnce(readText(controlExample), `peerAddr = "127.0.0.1:7114"`, `peerAddr = "127.0.0.1:7119"`)
		_, err := settings.Parse("f.toml", []byte(text))
		expectSingleError(err, line, "control.voters[0].peerAddr", "127.0.0.1:7114")
	})

	// Guards against small, deeply nested files that take minutes to parse.
	DescribeTable("is limited in nesting",
		func(text string) {
			_, err := settings.Parse("f.toml", []byte(text))
			expectSingleError(err, 1, "", "16 levels")
		},
		Entry("lists", "a = "+strings.Repeat("[", 200_000)),
		Entry("inline tables", "a = "+strings.Repeat("{a=", 100_000)),
		Entry("a dotted key", strings.Repeat("a.", 200_000)+"a = 1"),
		Entry("a header", "["+strings.Repeat("a.", 200_000)+"a]"),
	)

	It("is limited in size and in the number of reported faults", func() {
		_, err := settings.Parse("f.toml", make([]byte, settings.MaxFileBytes+1))
		expectSingleError(err, 1, "", "too large")
		_, err = settings.Parse("f.toml", []byte(strings.Repeat("[[control.voters]]\n", 10_000)))
		Expect(err).To(HaveLen(100))
	})
})

var _ = Describe("a fleet configuration file", func() {
	DescribeTable("with one fault gives one error with line and key",
		func(from, to, key, allowed string) {
			text, line := replaceOnce(readText(fleetExample), from, to)
			_, err := settings.ParseFleet("f.toml", []byte(text))
			expectSingleError(err, line, key, allowed)
		},
		Entry("unknown key", `rank = "urgent"`, `ranks = "urgent"`, "services[1].operations[0].ranks", "rank"),
		Entry("unknown rank", `"urgent"`, `"high"`, "services[1].operations[0].rank", "urgent, interactive"),
		Entry("floors above the sum", `[10, 20, 30]`, `[40, 40, 40]`, "defaults.rankFloors", "at most 90"),
		Entry("two floors", `[10, 20, 30]`, `[40, 40]`, "defaults.rankFloors", "exactly 3"),
		Entry("no timeout", `timeoutMs = 60000`, `timeoutMs = 0`, "services[0].operations[1].timeoutMs", "1 to 600000"),
		Entry("unlisted region", `to = "huye"`, `to = "huya"`, "links[0].to", "listed region"),
		Entry("domain twice", `"kigali-b"`, `"kigali-a"`, "regions[0].failureDomains[1]", "once"),
		Entry("negative version", "[defaults]", "version = -1\n[defaults]", "version", "at least 0"),
	)
})

// Guards against documentation that lists other keys than the code accepts.
var _ = Describe("the settings page", func() {
	rows := regexp.MustCompile("(?m)^\\| `([^`]+)` \\|")
	listedKeys := func(section string) []string {
		_, text, _ := strings.Cut(readText("../docs/SETTINGS.md"), "\n## "+section+"\n")
		text, _, _ = strings.Cut(text, "\n## ")
		var keys []string
		for _, m := range rows.FindAllStringSubmatch(text, -1) {
			keys = append(keys, m[1])
		}
		return keys
	}

	It("lists the keys of a process", func() {
		Expect(listedKeys("Settings of a process")).To(Equal(settings.Keys()))
	})

	// Guards against documented defaults that differ from the code.
	expectDefaults := func(table string, defaults any) {
		GinkgoHelper()
		page := readText("../docs/SETTINGS.md")
		v := reflect.ValueOf(defaults)
		for i := range v.NumField() {
			key, want := v.Type().Field(i).Tag.Get("toml"), strings.ReplaceAll(fmt.Sprint(v.Field(i)), " ", ", ")
			Expect(page).To(MatchRegexp("`%s\\.%s` \\| [^|]+ \\| %s \\|", table, key, regexp.QuoteMeta(want)))
		}
	}

	It("gives the defaults of the code", func() {
		expectDefaults("limits", settings.Default().Limits)
		expectDefaults("log", settings.Default().Log)
		expectDefaults("defaults", azurestair.Defaults{}.WithDefaults())
	})

	It("gives the limits of the code", func() {
		page := readText("../docs/SETTINGS.md")
		for _, key := range settings.Keys() {
			name, isLimit := strings.CutPrefix(key, "limits.")
			if !isLimit {
				continue
			}
			_, err := settings.Parse("f.toml", []byte("[limits]\n"+name+" = -1"))
			allowed := regexp.MustCompile(regexp.QuoteMeta(key) + `: is -1; allowed are (\d+ to \d+)`).FindStringSubmatch(err.Error())
			Expect(allowed).NotTo(BeNil(), err.Error())
			Expect(page).To(MatchRegexp("`%s` .* \\| %s \\|", regexp.QuoteMeta(key), allowed[1]))
		}
	})

	It("lists the keys of the fleet configuration", func() {
		Expect(listedKeys("Fleet configuration")).To(Equal(settings.FleetKeys()))
	})
})

// Guards against wrong line numbers after strings, comments and keys that
// contain TOML syntax.
var _ = Describe("line numbers", func() {
	DescribeTable("are correct after",
		func(before string) {
			text := before + "\n[logs]\n"
			_, err := settings.ParseFleet("f.toml", []byte(text))
			Expect(err.Error()).To(ContainSubstring(fmt.Sprintf("f.toml:%d: logs: ", strings.Count(text, "\n"))))
		},
		Entry("a multi-line string", "[a]\nb = \"\"\"\n[logs]\n\\\"\"\"\"\"\n"),
		Entry("a literal string", "a = '''\n'[logs]''''\nb = '\\'"),
		Entry("a list over several lines", "a = [\n # ]\n [1,\n2], {b = \"}\\\"\"},\n]"),
		Entry("quoted and dotted keys", "\"a.b\" . 'c]' = 1 # [logs]\n[x.\"y]\"]"),
		Entry("a date with a space and CRLF", "a = 1979-05-27 07:32:00\r\nb = 1\r"),
	)
})
