package control

import (
	"fmt"

	"azurestair.example/azurestair"
)

// Query asks the leader for parts of the control state. Nil and false parts are not read.
type Query struct {
	Claim   *azurestair.ClaimQuery `cbor:"1,keyasint,omitempty"`
	Audit   *AuditQuery            `cbor:"2,keyasint,omitempty"`
	History bool                   `cbor:"3,keyasint,omitempty"`
	// Instances asks for what the leader knows of the instances; it is newer
	// than the published snapshots, which collect small changes.
	Instances bool `cbor:"4,keyasint,omitempty"`
	// Local asks the replica that gets the query for what it has applied, which
	// may be behind. It answers also while there is no leader.
	Local bool `cbor:"5,keyasint,omitempty"`
	// Departure asks how far a departure has spread.
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

// QueryResult holds the parts that a Query asked for.
type QueryResult struct {
	Claim   *azurestair.ClaimRecord  `cbor:"1,keyasint,omitempty"`
	Audit   []azurestair.AuditRecord `cbor:"2,keyasint,omitempty"`
	History []ConfigRecord           `cbor:"3,keyasint,omitempty"`
	// Instances is filled by the leader, which has the registry.
	Instances []azurestair.InstanceInfo `cbor:"4,keyasint,omitempty"`
	// Departure is filled by the leader, which knows what the entries hold.
	Departure *DepartureStatus `cbor:"5,keyasint,omitempty"`
}

// Query reads parts of the state.
func (s *State) Query(q Query) QueryResult {
	var r QueryResult
	if q.Claim != nil {
		if record, ok := s.Claim(q.Claim.Service, q.Claim.Key); ok {
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
