package main

import (
	"bytes"
	"context"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

func TestCommandLine(t *testing.T) {
	RegisterFailHandler(ginkgo.Fail)
	ginkgo.RunSpecs(t, "command line")
}

// expectError runs a command line and expects the exit status, no output, and a
// single error line that contains all parts.
func expectError(status int, line string, parts ...string) {
	ginkgo.GinkgoHelper()
	var out, errOut bytes.Buffer
	Expect(run(context.Background(), strings.Fields(line), &out, &errOut)).To(Equal(status), errOut.String())
	Expect(strings.Count(errOut.String(), "\n")).To(Equal(1), errOut.String())
	for _, p := range parts {
		Expect(errOut.String()).To(ContainSubstring(p))
	}
	Expect(out.String()).To(BeEmpty())
}

var _ = ginkgo.Describe("a command line", func() {
	// Guards against errors that are hidden in the usage text, or that do not
	// say how to correct the command line.
	ginkgo.DescribeTable("that is wrong gets a one-line error and the usage status", func(line string, parts ...string) {
		expectError(exitUsage, line, parts...)
	},
		ginkgo.Entry("unknown command", "nosuch", `unknown command "nosuch"`, "--help"),
		ginkgo.Entry("unknown subcommand", "config nosuch", `"nosuch"`, "--help"),
		ginkgo.Entry("unknown flag", "status --nosuch", "-nosuch", "--help"),
		ginkgo.Entry("argument", "status --token t extra", `"extra"`),
		ginkgo.Entry("no token", "status", "--token is missing", "AZURESTAIR_TOKEN"),
		ginkgo.Entry("no settings", "serve", "--settings is missing"),
		ginkgo.Entry("no file to check", "check", "--settings FILE", "--fleet FILE"),
		// The operator must give the base version. If the command read it
		// itself, the compare-and-set would overwrite a concurrent change.
		ginkgo.Entry("no base", "config apply --token t --file f --reason r", "--base is missing", "config get"),
		ginkgo.Entry("no reason", "drain --token t --name n", "--reason is missing"),
	)

	// Guards against requested help that is written to stderr or sets an error
	// status.
	ginkgo.It("that asks for help gets it on stdout", func() {
		var out, errOut bytes.Buffer
		Expect(run(context.Background(), []string{"config", "apply", "--help"}, &out, &errOut)).To(Equal(exitOK))
		Expect(out.String()).To(ContainSubstring("azurestair config apply"))
		Expect(errOut.String()).To(BeEmpty())
	})

	// Guards against file errors without file, line and key.
	ginkgo.It("that checks an invalid file gets an error with file, line, key and allowed values", func() {
		file := filepath.Join(ginkgo.GinkgoT().TempDir(), "fleet.toml")
		Expect(os.WriteFile(file, []byte("[defaults]\nqueueLimit = -1\n"), 0o600)).To(Succeed())
		expectError(exitFailed, "check --fleet "+file, file+":2: defaults.queueLimit", "allowed 0 to 100000")
	})
})

var _ = ginkgo.Describe("a call of the administration API", func() {
	startServer := func(status int, body string) string {
		s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
			w.WriteHeader(status)
			_, _ = w.Write([]byte(body))
		}))
		ginkgo.DeferCleanup(s.Close)
		return s.Listener.Addr().String()
	}

	// Guards against a conflict error without its cause.
	ginkgo.It("passes on why a change conflicts", func() {
		addr := startServer(http.StatusConflict, `{"error":"conflict: entry-1 is already a member"}`)
		expectError(exitFailed, "members --token t --action addLearner --name entry-1 --reason r --addr "+addr,
			"conflict: entry-1 is already a member")
	})

	// Guards against a second change instead of a resend after a lost response.
	ginkgo.It("names the change id when the outcome is not known", func() {
		addr := startServer(http.StatusServiceUnavailable, `{"error":"no quorum"}`)
		line := "drain --token t --name n --reason r --change-id c1 --addr "
		expectError(exitFailed, line+addr, "may have been made", "--change-id c1")
		expectError(exitFailed, line+"127.0.0.1:1", "no answer from 127.0.0.1:1", "--change-id c1")
	})
})
