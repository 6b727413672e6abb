package operator_test

import (
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"strings"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"azurestair.example/azurestair"
	"azurestair.example/azurestair/operator"
)

// Guards against keys that operators read back in cleartext, and against a
// configuration that cannot be applied again after it was read.
var _ = It("a configuration with workspaces is read back with the digests of its keys", func() {
	b := &fakeBackend{}
	auth := func(string) (azurestair.OperatorName, error) { return "alice", nil }
	h := operator.NewHandler(b, auth, clock{}, http.NotFoundHandler())
	call := func(method, path, body string) string {
		GinkgoHelper()
		w := httptest.NewRecorder()
		r := httptest.NewRequest(method, path, strings.NewReader(body))
		h.ServeHTTP(w, r)
		Expect(w.Code).To(Equal(http.StatusOK), w.Body.String())
		return w.Body.String()
	}
	cfg := strings.Replace(config, `"services":[]`, `"services":[],"workspaces":[{"name":"acme","keys":["key-one"],"rank":"urgent","ratePerSecond":2.5}]`, 1)
	call("PUT", "/v1/config", configChange("c1", 0, cfg))
	var got operator.ConfigResponse
	text := call("GET", "/v1/config", "")
	Expect(json.Unmarshal([]byte(text), &got)).To(Succeed())
	Expect(got.Config.Workspaces[0].Keys).To(Equal([]azurestair.KeyDigest{azurestair.KeyDigestOf("key-one")}))
	Expect(*got.Config.Workspaces[0].Rank).To(Equal(azurestair.RankUrgent))
	Expect(text + call("GET", "/v1/config/history", "")).NotTo(ContainSubstring("key-one"))
	again, err := json.Marshal(got.Config)
	Expect(err).NotTo(HaveOccurred())
	call("PUT", "/v1/config", configChange("c2", int(got.Version), string(again)))
	Expect(b.state.Config().Workspaces).To(Equal(got.Config.Workspaces))
})
