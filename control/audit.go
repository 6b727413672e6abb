package control

import (
	"fmt"

	"azurestair.example/azurestair"
)

const (
	// MaxAudit bounds the audit trail. Records are dropped by count only, so
	// 333 changes a day are kept for at least 30 days.
	MaxAudit = 10_000
	// DefaultAuditLimit is the number of records that a query without a limit
	// returns.
	DefaultAuditLimit = 100
)

// AuditQuery selects records of the audit trail. Zero fields match all records.
type AuditQuery struct {
	// From (inclusive) and To (exclusive) bound the time of a record.
	From     azurestair.UnixMillis
	To       azurestair.UnixMillis
	Operator azurestair.OperatorName
	// Limit bounds the number of records. Zero means DefaultAuditLimit.
	Limit int
}

func (q AuditQuery) matches(r azurestair.AuditRecord) bool {
	if r.At < q.From || (q.To != 0 && r.At >= q.To) {
		return false
	}
	return q.Operator == "" || q.Operator == r.Operator
}

// Audit returns the records that match the query, newest first.
func (s *State) Audit(q AuditQuery) []azurestair.AuditRecord {
	limit := q.Limit
	if limit <= 0 {
		limit = DefaultAuditLimit
	}
	var found []azurestair.AuditRecord
	for i := len(s.audit.items) - 1; i >= 0 && len(found) < limit; i-- {
		if q.matches(s.audit.items[i]) {
			found = append(found, s.audit.items[i])
		}
	}
	return found
}

func (s *State) recordAudit(c azurestair.Command, change azurestair.Change, r azurestair.Result) {
	s.audit.push(azurestair.AuditRecord{
		Index:    s.applied,
		At:       c.At,
		Operator: change.Operator,
		ChangeID: change.ID,
		Action:   auditAction(c),
		Reason:   change.Reason,
		Result:   r.Code,
		Version:  s.Config().Version,
	}, MaxAudit)
}

// auditAction describes a change in the audit trail. Names that failed
// validation may have any length, so they are truncated to bound the size of
// the record.
func auditAction(c azurestair.Command) string {
	switch {
	case c.Config != nil:
		return fmt.Sprintf("config base=%d", c.Config.BaseVersion)
	case c.Drain != nil && c.Drain.Drained:
		return fmt.Sprintf("drain %.32s %.64s", c.Drain.Target.Kind, c.Drain.Target.Name)
	case c.Drain != nil:
		return fmt.Sprintf("undrain %.32s %.64s", c.Drain.Target.Kind, c.Drain.Target.Name)
	default:
		return fmt.Sprintf("%.32s %.64s", c.Members.Action, c.Members.Instance)
	}
}
