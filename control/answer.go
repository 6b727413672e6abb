package control

import "azurestair.example/azurestair"

// answerQueue links the records with a stored answer, oldest first, and tracks
// the total size of the answers.
type answerQueue struct {
	oldest, newest *expiryNode
	size           azurestair.Bytes
	lastSeq        uint64
}

// storeAnswer stores the answer of a finished claim and drops the oldest
// answers beyond MaxAnswerBytes.
func (l *ledger) storeAnswer(n *expiryNode, a *azurestair.Answer) {
	next := *n.record
	next.Answer = a
	size := answerSize(a)
	if size > 2*azurestair.MaxRecordedAnswer {
		next.Answer = droppedAnswer(a)
		size = 0
	}
	if size == 0 {
		n.record = &next
		return
	}
	l.answers.lastSeq++
	next.AnswerSeq = l.answers.lastSeq
	n.record = &next
	l.answers.add(n)
	for l.answers.size > MaxAnswerBytes {
		l.dropAnswer(l.answers.oldest)
	}
}

func (l *ledger) dropAnswer(n *expiryNode) {
	l.answers.remove(n)
	next := *n.record
	next.Answer = droppedAnswer(next.Answer)
	next.AnswerSeq = 0
	n.record = &next
}

// droppedAnswer returns an answer that has only the status.
func droppedAnswer(a *azurestair.Answer) *azurestair.Answer {
	return &azurestair.Answer{Status: a.Status, Dropped: true}
}

// answerSize returns the size of the body and the header fields. Validate
// bounds the body, and storeAnswer bounds the sum.
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

// remove removes a record from the queue. It does nothing for a record without
// a stored answer.
func (q *answerQueue) remove(n *expiryNode) {
	if n.record.AnswerSeq == 0 {
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
