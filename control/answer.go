package control

import "azurestair.example/azurestair"

// answerQueue links the records that keep an answer, oldest first, and counts
// the bytes that they keep.
type answerQueue struct {
	oldest, newest *expiryNode
	size           azurestair.Bytes
	last           uint64
}

// keepAnswer records the answer of a done claim and drops the oldest answers
// beyond the limit.
func (l *ledger) keepAnswer(n *expiryNode, a *azurestair.Answer) {
	next := *n.record
	next.Answer = a
	size := answerSize(a)
	if size > 2*azurestair.MaxKeptAnswer {
		next.Answer = droppedAnswer(a)
		size = 0
	}
	if size == 0 {
		n.record = &next
		return
	}
	l.answers.last++
	next.Kept = l.answers.last
	n.record = &next
	l.answers.add(n)
	for l.answers.size > MaxKeptAnswers {
		l.dropAnswer(l.answers.oldest)
	}
}

func (l *ledger) dropAnswer(n *expiryNode) {
	l.answers.remove(n)
	next := *n.record
	next.Answer = droppedAnswer(next.Answer)
	next.Kept = 0
	n.record = &next
}

// droppedAnswer keeps the status only.
func droppedAnswer(a *azurestair.Answer) *azurestair.Answer {
	return &azurestair.Answer{Status: a.Status, Dropped: true}
}

// answerSize counts the body and the header fields. Validate bounds the body;
// keepAnswer bounds the sum.
func answerSize(a *azurestair.Answer) azurestair.Bytes {
	n := len(a.Body)
	for name, value := range a.Header {
		n += len(name) + len(value)
	}
	return azurestair.Bytes(n)
}

func (q *answerQueue) add(n *expiryNode) {
	n.older = q.newest
	if q.newest == nil {
		q.oldest = n
	} else {
		q.newest.newer = n
	}
	q.newest = n
	q.size += answerSize(n.record.Answer)
}

// remove takes a record out of the queue; a record without kept answer is not in it.
func (q *answerQueue) remove(n *expiryNode) {
	if n.record.Kept == 0 {
		return
	}
	if n.older == nil {
		q.oldest = n.newer
	} else {
		n.older.newer = n.newer
	}
	if n.newer == nil {
		q.newest = n.older
	} else {
		n.newer.older = n.older
	}
	n.older, n.newer = nil, nil
	q.size -= answerSize(n.record.Answer)
}
