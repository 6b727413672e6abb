package azurestair_test

import (
	"net/netip"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"azurestair.example/azurestair"
)

// Guards against addresses with the same prefix that have different blocks, and
// against different prefixes that have the same block.
var _ = DescribeTable("client blocks are derived from addresses:", func(addr, want string) {
	a, _ := netip.ParseAddr(addr)
	Expect(azurestair.BlockOf(a).String()).To(Equal(want))
},
	Entry("IPv4", "203.0.113.9", "203.0.113.0/24"),
	Entry("IPv4 in IPv6", "::ffff:203.0.113.9", "203.0.113.0/24"),
	Entry("IPv6", "2001:db8:1:2::3", "2001:db8:1::/48"),
	Entry("lowest IPv4", "0.0.0.1", "0.0.0.0/24"),
	Entry("lowest IPv6", "::1", "::/48"),
	Entry("highest IPv6", "ffff:ffff:ffff::1", "ffff:ffff:ffff::/48"),
	Entry("no address", "", "none"),
)
