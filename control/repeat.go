package control

import (
	"slices"

	"azurestair.example/azurestair"
)

// ReportSender leaves out of an instance's reports what the leader has from an
// earlier one: an idle instance reports the same each second. Its owner has
// only one report on its way at a time. The zero value sends a whole report.
type ReportSender struct {
	number azurestair.ReportNumber
	// base is the last whole report if it was answered, answered the last report that was.
	base, answered azurestair.ReportNumber
	whole          azurestair.Report
	grants         []azurestair.Grant
}

// Prepare returns the report to send in place of r.
func (s *ReportSender) Prepare(r azurestair.Report) azurestair.Report {
	s.number++
	r.Number, r.Answered = s.number, s.answered
	if s.base == 0 || r.Leaving || !isRepeat(s.whole, r) {
		s.base, s.whole = 0, r
		return r
	}
	return azurestair.Report{
		Repeat: &azurestair.Repeat{Instance: r.Instance.ID, Incarnation: r.Instance.Incarnation, Base: s.base},
		Number: r.Number, Answered: r.Answered,
		Announcements: r.Announcements, Traffic: r.Traffic, HeldTerm: r.HeldTerm, HeldRevision: r.HeldRevision,
	}
}

func isRepeat(a, b azurestair.Report) bool {
	return a.Instance == b.Instance && slices.Equal(a.Alive, b.Alive) && slices.Equal(a.Demands, b.Demands)
}

// Take returns the grants of the reply to the last report, or false when the
// leader asks for a whole report instead of answering.
func (s *ReportSender) Take(reply azurestair.ReportReply) ([]azurestair.Grant, bool) {
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

// ReportReceiver is the leader's side of a ReportSender: it holds the last
// whole report and the last grants of each instance. The zero value holds none.
type ReportReceiver struct {
	last map[azurestair.InstanceID]*received
}

type received struct {
	whole azurestair.Report
	// grants answered the report with the number answered.
	grants   []azurestair.Grant
	answered azurestair.ReportNumber
}

// Expand returns the whole report for one that may repeat an earlier one, or
// false when that one is not known.
func (r *ReportReceiver) Expand(q azurestair.Report) (azurestair.Report, bool) {
	if q.Repeat == nil {
		r.keep(q)
		return q, true
	}
	rec := r.last[q.Repeat.Instance]
	if rec == nil || rec.whole.Instance.Incarnation != q.Repeat.Incarnation || rec.whole.Number != q.Repeat.Base {
		return azurestair.Report{}, false
	}
	q.Repeat, q.Instance, q.Alive, q.Demands = nil, rec.whole.Instance, rec.whole.Alive, rec.whole.Demands
	return q, true
}

// keep holds a whole report. When there are too many, all are dropped, and
// each instance sends a whole one again.
func (r *ReportReceiver) keep(q azurestair.Report) {
	if r.last == nil || len(r.last) >= DefaultMaxInstances {
		r.last = map[azurestair.InstanceID]*received{}
	}
	if q.Leaving {
		delete(r.last, q.Instance.ID)
		return
	}
	q.Announcements, q.Traffic = nil, nil
	r.last[q.Instance.ID] = &received{whole: q}
}

// Shorten puts the grants into the reply to an expanded report, unless the
// instance has taken over the same ones with the report that it answers.
func (r *ReportReceiver) Shorten(q azurestair.Report, grants []azurestair.Grant, reply *azurestair.ReportReply) {
	rec := r.last[q.Instance.ID]
	if rec == nil {
		reply.Grants = grants
		return
	}
	if len(grants) > 0 && q.Answered != 0 && q.Answered == rec.answered && slices.Equal(rec.grants, grants) {
		reply.SameGrants = true
	} else {
		reply.Grants = grants
	}
	rec.grants, rec.answered = grants, q.Number
}
