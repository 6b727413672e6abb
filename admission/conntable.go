package admission

import (
	"container/list"
	"time"

	"azurestair.example/azurestair"
)

// ConnState is what a client connection is doing.
type ConnState uint8

// States of a client connection.
const (
	// ConnHead is a connection that has not sent a complete request head: a new
	// one, or one that has begun to send a further request.
	ConnHead ConnState = iota
	// ConnIdle is a connection without a request.
	ConnIdle
	// ConnReceiving is a connection whose request body has not fully arrived.
	ConnReceiving
	// ConnServing is a connection whose request is being served.
	ConnServing
	numConnStates
)

const (
	// headGrace is the time that a connection without a complete request head is
	// kept when connections are short. It covers several round trips of 40 ms
	// between regions.
	headGrace = time.Second
	// stallGrace is the time without a byte of the request body after which a
	// connection is closed when connections are short. Retransmissions after a
	// lost packet take up to 3 s.
	stallGrace = 5 * time.Second
)

// ConnLimits bounds the client connections of a listener. A zero limit means
// none.
type ConnLimits struct {
	MaxConns azurestair.Conns
	// HeaderTimeout bounds the time to send a request head.
	HeaderTimeout time.Duration
	// IdleTimeout is the time after which an idle connection is closed.
	IdleTimeout time.Duration
}

// ConnTable decides which client connections of a listener are closed: those
// that exceed a time limit, and, when as many are open as allowed, one for each
// new connection. That one is the oldest connection without a complete head,
// after headGrace; then the longest idle one; then the one whose body has
// stalled the longest, after stallGrace. If there is none, the new connection is
// refused. A connection whose request is being served is never closed.
type ConnTable[K comparable] struct {
	limits ConnLimits
	conns  map[K]*list.Element
	// states holds the connections of each state in the order of their times.
	states [numConnStates]list.List
}

type connRecord[K comparable] struct {
	id    K
	state ConnState
	// since is when the state began or when the last byte of a body arrived.
	since time.Time
}

// NewConnTable returns an empty table.
func NewConnTable[K comparable](l ConnLimits) *ConnTable[K] {
	return &ConnTable[K]{limits: l, conns: map[K]*list.Element{}}
}

// SetLimits changes the limits for all connections.
func (t *ConnTable[K]) SetLimits(l ConnLimits) { t.limits = l }

// Len returns the number of open connections.
func (t *ConnTable[K]) Len() int { return len(t.conns) }

// Open adds a connection. If that needs another one to be closed, it returns
// that one and true. It reports whether the new connection is accepted.
func (t *ConnTable[K]) Open(id K, now time.Time) (victim K, hasVictim, accepted bool) {
	if t.limits.MaxConns > 0 && azurestair.Conns(len(t.conns)) >= t.limits.MaxConns {
		victim, hasVictim = t.victim(now)
		if !hasVictim {
			return victim, false, false
		}
		t.Close(victim)
	}
	t.insert(id, ConnHead, now)
	return victim, hasVictim, true
}

func (t *ConnTable[K]) insert(id K, s ConnState, now time.Time) {
	t.conns[id] = t.states[s].PushBack(connRecord[K]{id: id, state: s, since: now})
}

func (t *ConnTable[K]) victim(now time.Time) (K, bool) {
	for _, c := range []struct {
		state ConnState
		grace time.Duration
	}{{ConnHead, headGrace}, {ConnIdle, 0}, {ConnReceiving, stallGrace}} {
		if e := t.states[c.state].Front(); e != nil {
			if r := e.Value.(connRecord[K]); now.Sub(r.since) >= c.grace {
				return r.id, true
			}
		}
	}
	var none K
	return none, false
}

// SetState records that a connection begins a state, or that it makes progress
// in it. Connections that are not in the table are ignored.
func (t *ConnTable[K]) SetState(id K, s ConnState, now time.Time) {
	e, ok := t.conns[id]
	if !ok {
		return
	}
	r := e.Value.(connRecord[K])
	if r.state == s && s == ConnHead {
		// Further bytes of a head do not extend its time.
		return
	}
	t.states[r.state].Remove(e)
	t.insert(id, s, now)
}

// State returns the state of a connection, and whether it is open.
func (t *ConnTable[K]) State(id K) (ConnState, bool) {
	e, ok := t.conns[id]
	if !ok {
		return ConnHead, false
	}
	return e.Value.(connRecord[K]).state, true
}

// Close removes a connection.
func (t *ConnTable[K]) Close(id K) {
	if e, ok := t.conns[id]; ok {
		t.states[e.Value.(connRecord[K]).state].Remove(e)
		delete(t.conns, id)
	}
}

// Expired removes and returns the connections that exceed the time limits.
func (t *ConnTable[K]) Expired(now time.Time) []K {
	out := t.expire(nil, ConnHead, t.limits.HeaderTimeout, now)
	return t.expire(out, ConnIdle, t.limits.IdleTimeout, now)
}

func (t *ConnTable[K]) expire(out []K, s ConnState, limit time.Duration, now time.Time) []K {
	for limit > 0 {
		e := t.states[s].Front()
		if e == nil {
			break
		}
		r := e.Value.(connRecord[K])
		if now.Sub(r.since) < limit {
			break
		}
		t.Close(r.id)
		out = append(out, r.id)
	}
	return out
}
