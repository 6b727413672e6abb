package control_test

import (
	"fmt"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"azurestair.example/azurestair"
)

func TestControl(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "control")
}

var start = time.Unix(1_700_000_000, 0)

// at returns the time the given number of milliseconds after start.
func at(ms int) time.Time { return start.Add(time.Duration(ms) * time.Millisecond) }

// upstream returns the first announcement of upstream n of the catalogue
// service.
func upstream(n int) azurestair.Announcement {
	return azurestair.Announcement{
		Upstream: azurestair.UpstreamID(fmt.Sprintf("worker-%03d", n)), Service: "catalogue", Addr: "127.0.0.1:80",
		Region: "kigali", FailureDomain: "kigali-a", Slots: 10, MaxConns: 330,
		State: azurestair.StateServing, Incarnation: 1, Sequence: 1,
	}
}

func entry(n int) azurestair.InstanceInfo {
	return azurestair.InstanceInfo{
		ID: azurestair.InstanceID(fmt.Sprintf("entry-%03d", n)), Incarnation: 1, CallerAddr: "127.0.0.1:8080",
		PeerAddr: "127.0.0.1:9090", Region: "kigali", FailureDomain: "kigali-a", Ready: true,
	}
}
