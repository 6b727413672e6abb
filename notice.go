package azurestair

import "cmp"

// SnapshotNotice tells an instance that a newer snapshot than the one it has is
// available, and identifies the leader. The zero value identifies no leader;
// programs of earlier versions send it.
type SnapshotNotice struct {
	Leader InstanceID `cbor:"1,keyasint,omitempty" json:"leader,omitempty"`
	Term   Term       `cbor:"2,keyasint,omitempty" json:"term,omitempty"`
	// Addr is the peer address of the leader, for instances that do not know
	// it.
	Addr string `cbor:"3,keyasint,omitempty" json:"addr,omitempty"`
	// Fleet is the fleet of the sender.
	Fleet FleetID `cbor:"4,keyasint,omitempty" json:"fleet,omitempty"`
	// Source is a control instance at Addr that holds a snapshot and knows no
	// leader yet. It is set only if Leader is not.
	Source InstanceID `cbor:"5,keyasint,omitempty" json:"source,omitempty"`
}

// Validate checks the notice.
func (n SnapshotNotice) Validate() error {
	sender := cmp.Or(n.Leader, n.Source)
	if sender == "" {
		return nil
	}
	if err := CheckName("sender", string(sender)); err != nil {
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
