package routing_test

import (
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"azurestair.example/azurestair"
	"azurestair.example/azurestair/routing"
)

func routes() *routing.Routes {
	cfg := &azurestair.Config{}
	for _, r := range [][3]string{{"all", "a.example", "/"}, {"orders", "a.example", "/orders/"}, {"new", "a.example", "/orders/new/"}, {"other", "B.example", "/x/"}} {
		cfg.Routes = append(cfg.Routes, azurestair.Route{Name: azurestair.RouteName(r[0]), Host: r[1], PathPrefix: r[2]})
	}
	return routing.NewRoutes(cfg)
}

var _ = Describe("a route", func() {
	// Guards against sending a request to the service of another route.
	DescribeTable("is matched by host and longest prefix",
		func(host, path, want string) {
			r, ok := routes().Find(host, path)
			Expect(ok).To(Equal(want != ""))
			Expect(string(r.Name)).To(Equal(want))
		},
		Entry("longest", "a.example", "/orders/new/1", "new"),
		Entry("shorter", "a.example", "/orders/1", "orders"),
		Entry("prefix without its slash", "a.example", "/orders", "all"),
		Entry("port and case", "A.Example:8080", "/orders/1", "orders"),
		Entry("case of the configuration", "b.example", "/x/", "other"),
		Entry("no prefix", "b.example", "/y", ""),
		Entry("no host", "c.example", "/", ""),
	)

	// Guards against a split that misses the weights while few requests have
	// arrived.
	It("splits its requests by weight at any time", func() {
		var s routing.Splitter
		parts := []azurestair.RouteService{{Service: "a", Weight: 90}, {Service: "b", Weight: 10}}
		n := map[azurestair.ServiceName]int{}
		for i := range 1000 {
			n[s.Next(parts)]++
			Expect(float64(n["b"])).To(BeNumerically("~", float64(i+1)/10, 1))
		}
		// Changed weights apply from the next request on.
		parts = []azurestair.RouteService{{Service: "a", Weight: 0}, {Service: "b", Weight: 1}}
		for range 10 {
			Expect(s.Next(parts)).To(BeEquivalentTo("b"))
		}
	})
})
