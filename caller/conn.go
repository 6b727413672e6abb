package caller

import (
	"errors"
	"net/http"
	"time"

	"azurestair.example/azurestair"
)

// LimitBody makes reads of the body of a request fail after the deadline. net/http
// lifts the deadline once the body has been read. Without a body it reads the
// connection in the background to notice that the caller disconnects, and would take
// a timeout of that read for one.
func LimitBody(w http.ResponseWriter, req *http.Request, deadline time.Time) {
	if req.Body != nil && req.Body != http.NoBody {
		_ = http.NewResponseController(w).SetReadDeadline(deadline)
	}
}

// ClosesConn reports whether the response to a request must close its connection:
// if the instance stops, and if the request's context has ended, because net/http
// gives the same context to all further requests on the connection.
func ClosesConn(req *http.Request, ready error) bool {
	return errors.Is(ready, azurestair.ErrClosed) || req.Context().Err() != nil
}
