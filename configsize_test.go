package azurestair_test

import (
	"fmt"
	"runtime"
	"strings"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"azurestair.example/azurestair"
)

// heapBytes returns the memory in use.
func heapBytes() float64 {
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return float64(m.HeapAlloc)
}

// Guards against a limit of memory that counts a configuration as much smaller
// than it is.
var _ = DescribeTable("the size of a configuration is close to the memory that it takes",
	func(build func(c *azurestair.Config)) {
		const copies = 20
		before := heapBytes()
		list := make([]*azurestair.Config, copies)
		size := 0.0
		for i := range list {
			list[i] = &azurestair.Config{}
			build(list[i])
			size += float64(list[i].Size())
		}
		taken := heapBytes() - before
		Expect(size).To(And(BeNumerically(">", 0.6*taken), BeNumerically("<", 1.5*taken)))
		runtime.KeepAlive(list)
	},
	Entry("with many routes", func(c *azurestair.Config) {
		c.Routes = make([]azurestair.Route, azurestair.MaxRoutes)
		for i := range c.Routes {
			c.Routes[i] = azurestair.Route{
				Name: azurestair.RouteName(fmt.Sprint("route-", i)), Host: strings.Clone("shop.example"), PathPrefix: fmt.Sprintf("/idle%d/", i),
				Services: []azurestair.RouteService{{Service: azurestair.ServiceName(strings.Clone("shop")), Weight: 1}},
			}
		}
	}),
	Entry("with many workspaces", func(c *azurestair.Config) {
		c.Workspaces = make([]azurestair.Workspace, azurestair.MaxWorkspaces)
		for i := range c.Workspaces {
			c.Workspaces[i] = azurestair.Workspace{
				Name: azurestair.WorkspaceName(fmt.Sprint("workspace-", i)), Keys: make([]azurestair.KeyDigest, 2),
				HomeRegions: []azurestair.RegionName{azurestair.RegionName(strings.Clone("huye"))},
			}
		}
	}),
	Entry("with a large document", func(c *azurestair.Config) { c.Document = make([]byte, 1<<20) }),
)
