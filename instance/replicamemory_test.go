package instance

import (
	"bytes"
	"fmt"
	"runtime"

	"github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"azurestair.example/azurestair"
	"azurestair.example/azurestair/control"
)

// configuredReplica is a leading replica whose configuration changes. It
// compacts its log.
type configuredReplica struct {
	*leadingReplica
	images chan control.Image
	// imageBytes is the size of the last image, and imageCount the number of
	// images so far.
	imageBytes, imageCount int
}

func newConfiguredReplica() *configuredReplica {
	ginkgo.GinkgoHelper()
	r := &configuredReplica{leadingReplica: newLeadingReplica(), images: make(chan control.Image, 1)}
	r.imageEncoder = &imageEncoder{jobs: r.images}
	return r
}

// change proposes a configuration and waits until it is applied.
func (r *configuredReplica) change(cfg azurestair.Config) {
	ginkgo.GinkgoHelper()
	done := make(chan proposeReply, 1)
	r.propose(proposeEvent{reply: done, command: azurestair.Command{Config: &azurestair.ConfigChange{
		Change: azurestair.Change{ID: azurestair.ChangeID(fmt.Sprint("c", cfg.Version)), Operator: "o", Reason: "r"}, Config: cfg, Highest: true,
	}}}, r.now)
	r.run(2)
	var reply proposeReply
	Expect(done).To(Receive(&reply))
	Expect(reply.err).NotTo(HaveOccurred())
	Expect(reply.result.Code).To(Equal(azurestair.ResultAccepted))
	r.maybeCompact()
	select {
	case image := <-r.images:
		data, err := r.imageEncoder.codec.Marshal(&image)
		Expect(r.compact(imageEncodedEvent{index: image.Applied, data: data, err: err})).To(Succeed())
		r.imageBytes, r.imageCount = len(data), r.imageCount+1
	default:
	}
}

// liveHeap returns the memory that is in use.
func liveHeap() int64 {
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return int64(m.HeapAlloc)
}

func configWithRoutes(version azurestair.ConfigVersion, routes, document int) azurestair.Config {
	cfg := azurestair.Config{
		Version: version, Document: bytes.Repeat([]byte("d"), document),
		Services: []azurestair.Service{{Name: "shop"}},
	}
	for n := range routes {
		cfg.Routes = append(cfg.Routes, azurestair.Route{
			Name: azurestair.RouteName(fmt.Sprintf("r-%07d", n)), Host: "shop.example", PathPrefix: fmt.Sprintf("/idle%d/", n),
			TimeoutMs: 1500, MaxAttempts: 2, Services: []azurestair.RouteService{{Service: "shop", Weight: 1}},
		})
	}
	return cfg
}

// Guards against control instances that exceed the memory of their machines
// after some changes of a large configuration, again after each restart, because
// the number of versions is bounded and their size is not.
var _ = ginkgo.DescribeTable("the memory of a replica is bounded while a configuration changes",
	func(routes, document int) {
		// A control machine has 280 MB. The rest of the runtime's part is for
		// garbage and for what is being encoded and sent.
		const machine = 280 << 20
		limit := int64(runtimeMemoryFraction * machine / 2)
		before := liveHeap()
		r := newConfiguredReplica()
		for v := range 75 {
			r.change(configWithRoutes(azurestair.ConfigVersion(v+1), routes, document))
		}
		Expect(r.imageCount).To(BeNumerically(">", 0))
		Expect(r.imageBytes).To(BeNumerically("<", 2*control.MaxHistoryBytes))
		Expect(liveHeap() - before).To(BeNumerically("<", limit))
		Expect(r.state.Config().Version).To(BeEquivalentTo(75))
		runtime.KeepAlive(r)
	},
	ginkgo.Entry("with many routes", 1910, 395_000),
	ginkgo.Entry("with the largest document", 2, 3_500_000),
	ginkgo.Entry("with as many routes as are allowed", azurestair.MaxRoutes, 1_000_000),
)
