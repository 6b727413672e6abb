package upstream

import (
	"errors"
	"fmt"
	"net/http"
)

// Errors of responses whose status line or framing no response may have.
var (
	errInvalidStatus     = errors.New("response has an invalid status")
	errUnexpectedUpgrade = errors.New("response switches protocols, which the request did not ask for")
	errInterimContent    = errors.New("interim response has content")
)

// maxStatus is the largest status code that HTTP defines a class for.
const maxStatus = 599

// checkStatus returns an error for a response that cannot answer the request
// and cannot precede its answer either: what follows it on the connection is
// not known to be the head of another response.
func checkStatus(r *http.Response) error {
	switch code := r.StatusCode; {
	case code < http.StatusContinue || code > maxStatus:
		return fmt.Errorf("%w: %.16q", errInvalidStatus, r.Status)
	case code == http.StatusSwitchingProtocols:
		return errUnexpectedUpgrade
	case isInterim(r) && announcesContent(r):
		return errInterimContent
	}
	return nil
}

func isInterim(r *http.Response) bool { return r.StatusCode < http.StatusOK }

func announcesContent(r *http.Response) bool {
	length := r.Header.Get("Content-Length")
	return len(r.TransferEncoding) > 0 || (length != "" && length != "0")
}
