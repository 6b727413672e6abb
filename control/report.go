package control

import (
	"slices"

	"azurestair.example/azurestair"
)

// ReportSender omits from the reports of an instance what the leader already
// has from an earlier report. An idle instance sends the same report every
// second. The caller must have only one report in flight. The zero value sends
// a complete report first.
type ReportSender struct {
	number azurestair.ReportNumber
	// base is the last complete report if it was answered. answered is the last
	// report that was answered.
	base, answered azurestair.ReportNumber
	fullReport     azurestair.Report
	grants         []azurestair.Grant
}

// Prepare returns the report to send in place of r.
func (s *ReportSender) Prepare(r azurestair.Report) azurestair.Report {
	s.number++
	r.Number, r.Acknowledged = s.number, s.answered
	if s.base == 0 || r.Leaving || !sameContent(s.fullReport, r) {
		s.base, s.fullReport = 0, r
		return r
	}
	return azurestair.Report{
		RepeatOf: &azurestair.ReportReference{Instance: r.Instance.ID, Incarnation: r.Instance.Incarnation, Base: s.base},
		Number:   r.Number, Acknowledged: r.Acknowledged,
		Announcements: r.Announcements, Traffic: r.Traffic, Objects: r.Objects, SnapshotTerm: r.SnapshotTerm, SnapshotRevision: r.SnapshotRevision,
	}
}

func sameContent(a, b azurestair.Report) bool {
	return a.Instance == b.Instance && a.Fleet == b.Fleet && slices.Equal(a.Alive, b.Alive) && slices.Equal(a.Demands, b.Demands)
}

// HandleReply returns the grants of the reply to the last report. It returns
// false if the leader requests a complete report instead of answering.
func (s *ReportSender) HandleReply(reply azurestair.ReportReply) ([]azurestair.Grant, bool) {
	if reply.Resend {
		s.base = 0
		return nil, false
	}
	if s.base == 0 {
		s.base = s.number
	}
	if !reply.SameGrants {
		s.grants = reply.Grants
	}
	s.answered = s.number
	return s.grants, true
}

// ReportReceiver is the leader's counterpart of ReportSender. It stores the
// last complete report and the last grants of each instance. The zero value is
// empty.
type ReportReceiver struct {
	last map[azurestair.InstanceID]*receivedReport
}

type receivedReport struct {
	fullReport azurestair.Report
	// grants are the reply to the report with the number answered.
	grants   []azurestair.Grant
	answered azurestair.ReportNumber
}

// Expand returns the complete report for one that may repeat an earlier report.
// It returns false if the earlier report is not known.
func (r *ReportReceiver) Expand(q azurestair.Report) (azurestair.Report, bool) {
	if q.RepeatOf == nil {
		r.store(q)
		return q, true
	}
	rec := r.last[q.RepeatOf.Instance]
	if rec == nil || rec.fullReport.Instance.Incarnation != q.RepeatOf.Incarnation || rec.fullReport.Number != q.RepeatOf.Base {
		return azurestair.Report{}, false
	}
	q.RepeatOf, q.Instance, q.Alive, q.Demands = nil, rec.fullReport.Instance, rec.fullReport.Alive, rec.fullReport.Demands
	return q, true
}

// store stores a complete report. If there are too many, it drops all of them,
// and each instance then sends a complete report again.
func (r *ReportReceiver) store(q azurestair.Report) {
	if r.last == nil || len(r.last) >= DefaultMaxInstances {
		r.last = map[azurestair.InstanceID]*receivedReport{}
	}
	if q.Leaving {
		delete(r.last, q.Instance.ID)
		return
	}
	q.Announcements, q.Traffic, q.Objects = nil, nil, nil
	r.last[q.Instance.ID] = &receivedReport{fullReport: q}
}

// SetGrants adds the grants to the reply to an expanded report, unless the
// instance has confirmed with this report that it has received the same grants.
func (r *ReportReceiver) SetGrants(q azurestair.Report, grants []azurestair.Grant, reply *azurestair.ReportReply) {
	rec := r.last[q.Instance.ID]
	if rec == nil {
		reply.Grants = grants
		return
	}
	if len(grants) > 0 && q.Acknowledged != 0 && q.Acknowledged == rec.answered && slices.Equal(rec.grants, grants) {
		reply.SameGrants = true
	} else {
		reply.Grants = grants
	}
	rec.grants, rec.answered = grants, q.Number
}
