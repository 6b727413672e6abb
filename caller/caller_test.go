package caller

import (
	"net/http"
	"net/http/httptest"

	"github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"azurestair.example/azurestair"
)

// Guards against a caller that obtains several fair shares by sending from many
// addresses of one block.
var _ = ginkgo.DescribeTable("a request counts for its caller's name or, without one, for its client block",
	func(remote, name string, want azurestair.CallerID) {
		req := httptest.NewRequest(http.MethodGet, "/v1/request/a/b", nil)
		req.RemoteAddr = remote
		r := &Request{Caller: azurestair.CallerID(name)}
		Expect((&handler{}).parseCaller(req, r)).To(Succeed())
		Expect(r.Caller).To(Equal(want))
	},
	ginkgo.Entry("IPv4", "10.1.2.3:4", "", azurestair.CallerID("10.1.2.0/24")),
	ginkgo.Entry("IPv4 in IPv6", "[::ffff:10.1.2.9]:4", "", azurestair.CallerID("10.1.2.0/24")),
	ginkgo.Entry("IPv6", "[2001:db8:1:2::3]:4", "", azurestair.CallerID("2001:db8:1::/48")),
	ginkgo.Entry("name", "10.1.2.3:4", "shop", azurestair.CallerID("shop")),
)
