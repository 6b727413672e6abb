package azurestair

import (
	"encoding/binary"
	"net/netip"
)

// ClientBlock is the /24 (IPv4) or /48 (IPv6) prefix of a client's address.
// The zero value is no block.
type ClientBlock uint64

// Lengths of the prefixes in bits.
const (
	blockBits4 = 24
	blockBits6 = 48
)

// Marks that keep IPv4 and IPv6 blocks apart from each other and from zero.
const (
	blockMark4 ClientBlock = 1 << 62
	blockMark6 ClientBlock = 1 << 63
)

// BlockOf returns the block of an address, zero for an invalid one. An IPv4
// address mapped into IPv6 has the block of the IPv4 address.
func BlockOf(a netip.Addr) ClientBlock {
	a = a.Unmap()
	switch {
	case a.Is4():
		b := a.As4()
		return blockMark4 | ClientBlock(binary.BigEndian.Uint32(b[:])>>(32-blockBits4))
	case a.Is6():
		b := a.As16()
		return blockMark6 | ClientBlock(binary.BigEndian.Uint64(b[:8])>>(64-blockBits6))
	default:
		return 0
	}
}

// Prefix returns the block as an address prefix, the zero Prefix for no block.
func (b ClientBlock) Prefix() netip.Prefix {
	switch {
	case b&blockMark6 != 0:
		var a [16]byte
		binary.BigEndian.PutUint64(a[:8], uint64(b&^blockMark6)<<(64-blockBits6))
		return netip.PrefixFrom(netip.AddrFrom16(a), blockBits6)
	case b&blockMark4 != 0:
		var a [4]byte
		binary.BigEndian.PutUint32(a[:], uint32(b&^blockMark4)<<(32-blockBits4))
		return netip.PrefixFrom(netip.AddrFrom4(a), blockBits4)
	default:
		return netip.Prefix{}
	}
}

// String returns the prefix in its usual notation.
func (b ClientBlock) String() string {
	if b == 0 {
		return "none"
	}
	return b.Prefix().String()
}
