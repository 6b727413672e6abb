package instance

import (
	"context"
	"encoding/json"
	"net"
	"net/http/httptest"

	"github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"azurestair.example/azurestair"
	"azurestair.example/azurestair/control"
	"azurestair.example/azurestair/peer"
	"azurestair.example/azurestair/settings"
)

// startNewerVoter serves as a voter that no longer accepts this program's
// version.
func startNewerVoter(id azurestair.InstanceID) peer.Address {
	ginkgo.GinkgoHelper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	Expect(err).NotTo(HaveOccurred())
	s := peer.NewServer(&Controller{}, nil, peer.NewVersions(peer.VersionOptions{
		Own: azurestair.ProtocolRange{Current: newerVersion, Oldest: newerVersion},
	}))
	go func() { _ = s.Serve(l) }()
	ginkgo.DeferCleanup(s.Stop)
	return peer.Address{ID: id, Addr: l.Addr().String()}
}

var _ = ginkgo.Describe("a voter of another version", func() {
	// Guards against a refused instance that operators cannot see.
	ginkgo.It("is reported in the status and in the metrics", func() {
		v := peer.NewVersions(peer.VersionOptions{Self: "e1"})
		conns := peer.NewConns(nil, nil, v)
		defer conns.Close()
		_, err := peer.NewClient(conns, nil).QueryAt(context.Background(), startNewerVoter("c1"), control.Query{})
		Expect(err).To(MatchError(azurestair.ErrVersion))
		m := newProcessMetrics()
		m.registerVersionMismatch(v)
		stopped := make(chan struct{})
		close(stopped)
		p := &Process{options: Options{}.withDefaults(), metrics: m, versions: v, controller: &Controller{stopped: stopped}}
		st := (&backend{p}).Status(context.Background())
		Expect(st.Protocol).To(Equal(azurestair.Protocol()))
		Expect(st.VersionMismatch).To(ConsistOf(azurestair.VersionError{
			Peer: "c1", Own: azurestair.Protocol(), Theirs: azurestair.ProtocolRange{Current: newerVersion, Oldest: newerVersion},
		}))
		w := httptest.NewRecorder()
		m.ServeHTTP(w, nil)
		var all map[string]map[string]any
		Expect(json.Unmarshal(w.Body.Bytes(), &all)).To(Succeed())
		Expect(all[versionMismatchMetric]).To(HaveKeyWithValue("value", BeEquivalentTo(1)))
	})

	// Guards against 'azurestair init' creating another first voter because the
	// existing fleet refuses the protocol version of its query.
	ginkgo.It("keeps 'azurestair init' from creating a first voter", func() {
		at := startNewerVoter("c2")
		s := settings.Settings{Control: settings.Control{Voters: []settings.Voter{{ID: at.ID, PeerAddr: at.Addr}}}}
		s.Instance.ID = "c1"
		_, err := FleetExists(context.Background(), s)
		Expect(err).To(MatchError(azurestair.ErrVersion))
		Expect(err).To(MatchError(ContainSubstring("voter c2")))
	})
})
