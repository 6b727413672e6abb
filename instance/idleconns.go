package instance

import (
	"container/list"
	"net"
	"net/http"
	"sync"
)

// idleConns closes the connections of a server that have been idle for longest
// while it has more than max of them. Callers that turn from one instance to the
// next leave idle connections at each; those of thousands of them would take up
// all that the listener may have, and new ones would wait.
type idleConns struct {
	max int

	mu   sync.Mutex
	open int
	// idle holds the idle connections, that which has been so for longest first.
	idle *list.List
	at   map[net.Conn]*list.Element
}

func newIdleConns(limit int) *idleConns {
	return &idleConns{max: limit, idle: list.New(), at: map[net.Conn]*list.Element{}}
}

// connState follows the connections of a server, as its ConnState.
func (i *idleConns) connState(c net.Conn, state http.ConnState) {
	if surplus := i.follow(c, state); surplus != nil {
		_ = surplus.Close()
	}
}

// follow takes over the state of a connection and returns one to close, or nil.
func (i *idleConns) follow(c net.Conn, state http.ConnState) net.Conn {
	i.mu.Lock()
	defer i.mu.Unlock()
	if e, ok := i.at[c]; ok {
		i.idle.Remove(e)
		delete(i.at, c)
	}
	switch state {
	case http.StateNew:
		i.open++
	case http.StateIdle:
		i.at[c] = i.idle.PushBack(c)
	case http.StateClosed, http.StateHijacked:
		i.open--
	case http.StateActive:
	}
	if i.open <= i.max || i.idle.Len() == 0 {
		return nil
	}
	// The end of the connection is counted when its server learns of it; until
	// then it is no longer idle.
	e := i.idle.Front()
	surplus := i.idle.Remove(e).(net.Conn)
	delete(i.at, surplus)
	return surplus
}
