package azurestair

import "context"

// ClaimQuery asks what the ledger holds for a key.
type ClaimQuery struct {
	Service ServiceName `cbor:"1,keyasint" json:"service"`
	Key     RequestKey  `cbor:"2,keyasint" json:"key"`
}

// Validate checks the query.
func (q ClaimQuery) Validate() error {
	if err := CheckName("service", string(q.Service)); err != nil {
		return err
	}
	return q.Key.Validate()
}

// ClaimStatus is the answer to a ClaimQuery; Record is nil for an unknown key.
type ClaimStatus struct {
	Record *ClaimRecord `cbor:"1,keyasint,omitempty" json:"record,omitempty"`
}

// Ledger gives the right to send non-idempotent requests and keeps their outcomes.
type Ledger interface {
	Proposer
	// QueryClaim reads the ledger at the leader, without an entry in the log.
	QueryClaim(ctx context.Context, q ClaimQuery) (ClaimStatus, error)
}
