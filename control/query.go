package control

import (
	"fmt"

	"azurestair.example/azurestair"
)

// Query requests parts of the control state from the leader. Parts that are nil
// or false are not read.
type Query struct {
	Claim   *azurestair.ClaimQuery `cbor:"1,keyasint,omitempty"`
	Audit   *AuditQuery            `cbor:"2,keyasint,omitempty"`
	History bool                   `cbor:"3,keyasint,omitempty"`
	// Instances requests what the leader knows about the instances. It is newer
	// than the published snapshots, which batch small changes.
	Instances bool `cbor:"4,keyasint,omitempty"`
	// Local requests the state that the receiving replica has applied, which
	// may be behind. It is also answered while there is no leader.
	Local bool `cbor:"5,keyasint,omitempty"`
	// Quotas requests the rate limits of the workspaces.
	Quotas bool `cbor:"7,keyasint,omitempty"`
	// Departure requests the propagation state of a departure.
	Departure *azurestair.Departure `cbor:"6,keyasint,omitempty"`
}

// Validate checks the query.
func (q Query) Validate() error {
	if q.Claim != nil {
		if err := q.Claim.Validate(); err != nil {
			return err
		}
	}
	if q.Departure != nil {
		if err := q.Departure.Validate(); err != nil {
			return err
		}
	}
	if q.Audit != nil && (q.Audit.Limit < 0 || q.Audit.Limit > MaxAudit) {
		return fmt.Errorf("%w: audit limit %d; allowed 0 to %d", azurestair.ErrInvalid, q.Audit.Limit, MaxAudit)
	}
	return nil
}

// QueryResult holds the parts that a Query requested.
type QueryResult struct {
	Claim   *azurestair.ClaimRecord  `cbor:"1,keyasint,omitempty"`
	Audit   []azurestair.AuditRecord `cbor:"2,keyasint,omitempty"`
	History []ConfigRecord           `cbor:"3,keyasint,omitempty"`
	// Instances is set by the leader, which has the registry.
	Instances []azurestair.InstanceInfo `cbor:"4,keyasint,omitempty"`
	// Departure is set by the leader, which knows the revisions that the
	// entries hold.
	Departure *DepartureStatus `cbor:"5,keyasint,omitempty"`
	// Quotas is set by the leader, which leases the rate tokens.
	Quotas []azurestair.QuotaStatus `cbor:"6,keyasint,omitempty"`
}

// Query reads parts of the state.
func (s *State) Query(q Query) QueryResult {
	var r QueryResult
	if q.Claim != nil {
		if record, ok := s.queryClaim(*q.Claim); ok {
			r.Claim = &record
		}
	}
	if q.Audit != nil {
		r.Audit = s.Audit(*q.Audit)
	}
	if q.History {
		r.History = s.History()
	}
	return r
}
