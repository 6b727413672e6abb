package azurestair

// SnapshotNotice tells an instance that a newer snapshot than the one it has is
// available, and identifies the leader. The zero value identifies no leader;
// programs of earlier versions send it.
type SnapshotNotice struct {
	Leader InstanceID `cbor:"1,keyasint,omitempty" json:"leader,omitempty"`
	Term   Term       `cbor:"2,keyasint,omitempty" json:"term,omitempty"`
}

// Validate checks the notice.
func (n SnapshotNotice) Validate() error {
	if n.Leader == "" {
		return nil
	}
	return CheckName("leader", string(n.Leader))
}
