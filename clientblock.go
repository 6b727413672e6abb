package azurestair

import (
	"encoding/binary"
	"net/netip"
)

// ClientBlock is the /24 (IPv4) or /48 (IPv6) prefix of a client's address. The
// zero value means no block.
type ClientBlock uint64

// Prefix lengths in bits.
const (
	ipv4PrefixBits = 24
	ipv6PrefixBits = 48
)

// Tag bits that distinguish IPv4 and IPv6 blocks from each other and from zero.
const (
	ipv4Tag ClientBlock = 1 << 62
	ipv6Tag ClientBlock = 1 << 63
)

// BlockOf returns the block of an address, or zero if the address is invalid.
// An IPv4-mapped IPv6 address has the block of its IPv4 address.
func BlockOf(a netip.Addr) ClientBlock {
	a = a.Unmap()
	switch {
	case a.Is4():
		b := a.As4()
		return ipv4Tag | ClientBlock(binary.BigEndian.Uint32(b[:])>>(32-ipv4PrefixBits))
	case a.Is6():
		b := a.As16()
		return ipv6Tag | ClientBlock(binary.BigEndian.Uint64(b[:8])>>(64-ipv6PrefixBits))
	default:
		return 0
	}
}

// Prefix returns the block as an address prefix, or the zero Prefix for no
// block.
func (b ClientBlock) Prefix() netip.Prefix {
	switch {
	case b&ipv6Tag != 0:
		var a [16]byte
		binary.BigEndian.PutUint64(a[:8], uint64(b&^ipv6Tag)<<(64-ipv6PrefixBits))
		return netip.PrefixFrom(netip.AddrFrom16(a), ipv6PrefixBits)
	case b&ipv4Tag != 0:
		var a [4]byte
		binary.BigEndian.PutUint32(a[:], uint32(b&^ipv4Tag)<<(32-ipv4PrefixBits))
		return netip.PrefixFrom(netip.AddrFrom4(a), ipv4PrefixBits)
	default:
		return netip.Prefix{}
	}
}

// String returns the prefix in CIDR notation, or "none" for no block.
func (b ClientBlock) String() string {
	if b == 0 {
		return "none"
	}
	return b.Prefix().String()
}
