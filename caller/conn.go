package caller

import (
	"net/http"
	"time"
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
