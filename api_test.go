package azurestair_test

import (
	"os"
	"regexp"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

// expectListed asserts that docs/API.md contains format(m) for each match m of
// the pattern in the file.
func expectListed(file, pattern string, format func(m []string) string, atLeast int) {
	GinkgoHelper()
	source, err := os.ReadFile(file)
	Expect(err).NotTo(HaveOccurred())
	page, err := os.ReadFile("docs/API.md")
	Expect(err).NotTo(HaveOccurred())
	found := regexp.MustCompile(pattern).FindAllStringSubmatch(string(source), -1)
	Expect(len(found)).To(BeNumerically(">=", atLeast), "matches in %s", file)
	for _, m := range found {
		Expect(string(page)).To(ContainSubstring(format(m)), "docs/API.md, from %s", file)
	}
}

// Guards against endpoints and reasons that are missing from the API
// documentation.
var _ = Describe("docs/API.md", func() {
	It("lists every reason", func() {
		expectListed("request.go", `Reason\w+ +Reason = "(\w+)"`, func(m []string) string { return "| `" + m[1] + "` |" }, 20)
	})

	DescribeTable("lists every route",
		func(file, prefix string, atLeast int) {
			methodNames := map[string]string{"Any": "ANY"}
			expectListed(file, `\b(e|v1)\.(GET|PUT|POST|DELETE|PATCH|HEAD|Any|Handle)\((requestPath\+)?"([^"]*)"`, func(m []string) string {
				path := m[4]
				if m[1] == "v1" {
					path = "/v1" + path
				}
				if m[3] != "" {
					path = prefix + path
				}
				if name, ok := methodNames[m[2]]; ok {
					m[2] = name
				}
				return "| `" + m[2] + " " + path + "` |"
			}, atLeast)
		},
		Entry("callers", "caller/handler.go", "/v1/request/", 5),
		Entry("upstreams", "upstream/announce.go", "", 1),
		Entry("operators", "operator/handler.go", "", 10),
	)
})
