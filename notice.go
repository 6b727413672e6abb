package azurestair

// SnapshotNotice tells an instance that a newer snapshot than the one it has is
// available, and identifies the leader. The zero value identifies no leader;
// programs of earlier versions send it.
type SnapshotNotice struct {
	Leader InstanceID `cbor:"1,keyasint,omitempty" json:"leader,omitempty"`
	Term   Term       `cbor:"2,keyasint,omitempty" json:"term,omitempty"`
	// Addr is the peer address of the leader, for instances that do not know
	// it.
	Addr string `cbor:"3,keyasint,omitempty" json:"addr,omitempty"`
	// Fleet is the fleet of the leader.
	Fleet FleetID `cbor:"4,keyasint,omitempty" json:"fleet,omitempty"`
}

// Validate checks the notice.
func (n SnapshotNotice) Validate() error {
	if n.Leader == "" {
		return nil
	}
	if err := CheckName("leader", string(n.Leader)); err != nil {
		return err
	}
	if err := n.Fleet.Validate(); err != nil {
		return err
	}
	if n.Addr == "" {
		return nil
	}
	return CheckAddr(n.Addr)
}
