package instance

import (
	"container/list"
	"net"
	"net/http"
	"sync"
)

// idleConns closes the connections of a server that have been idle the longest
// while more than max connections are open. Callers that switch between
// instances leave idle connections at each of them; with thousands of callers
// these would exhaust the listener's connection limit and block new
// connections.
type idleConns struct {
	max int

	mu   sync.Mutex
	open int
	// idle holds the idle connections, the longest idle first.
	idle     *list.List
	elements map[net.Conn]*list.Element
}

func newIdleConns(limit int) *idleConns {
	return &idleConns{max: limit, idle: list.New(), elements: map[net.Conn]*list.Element{}}
}

// connState tracks connection state changes; it is used as
// http.Server.ConnState.
func (i *idleConns) connState(c net.Conn, state http.ConnState) {
	if excess := i.track(c, state); excess != nil {
		_ = excess.Close()
	}
}

// track records the state of a connection and returns a connection to close, or
// nil.
func (i *idleConns) track(c net.Conn, state http.ConnState) net.Conn {
	i.mu.Lock()
	defer i.mu.Unlock()
	if e, ok := i.elements[c]; ok {
		i.idle.Remove(e)
		delete(i.elements, c)
	}
	switch state {
	case http.StateNew:
		i.open++
	case http.StateIdle:
		i.elements[c] = i.idle.PushBack(c)
	case http.StateClosed, http.StateHijacked:
		i.open--
	case http.StateActive:
	}
	if i.open <= i.max || i.idle.Len() == 0 {
		return nil
	}
	// The connection stays in the count of open ones until the server reports
	// that it is closed.
	e := i.idle.Front()
	excess := i.idle.Remove(e).(net.Conn)
	delete(i.elements, excess)
	return excess
}
