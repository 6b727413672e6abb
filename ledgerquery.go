package azurestair

import "context"

// ClaimQuery requests the ledger record of a key.
type ClaimQuery struct {
	Service ServiceName `cbor:"1,keyasint" json:"service"`
	Key     RequestKey  `cbor:"2,keyasint" json:"key"`
	// Workspace is the scope of the key; empty for requests without a workspace.
	Workspace WorkspaceName `cbor:"3,keyasint,omitempty" json:"workspace,omitempty"`
}

// Validate checks the query.
func (q ClaimQuery) Validate() error {
	if err := CheckName("service", string(q.Service)); err != nil {
		return err
	}
	if err := q.Workspace.validateScope(); err != nil {
		return err
	}
	return q.Key.Validate()
}

// ClaimStatus is the result of a ClaimQuery. Record is nil if the key is
// unknown. Its workspace differs from that of the query if the request may have
// run before workspaces were introduced, or after; it then has no answer.
type ClaimStatus struct {
	Record *ClaimRecord `cbor:"1,keyasint,omitempty" json:"record,omitempty"`
}

// Ledger grants the right to send non-idempotent requests and records their
// outcomes.
type Ledger interface {
	Proposer
	// QueryClaim reads the ledger at the leader without appending to the log.
	QueryClaim(ctx context.Context, q ClaimQuery) (ClaimStatus, error)
}
