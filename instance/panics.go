package instance

import (
	"errors"
	"fmt"
	"log/slog"
	"net/http"
	"runtime/debug"

	"github.com/rcrowley/go-metrics"
)

// panicLog logs and counts panics. A panic ends only the request or message
// that caused it; other requests share no state with it that it could have left
// half changed. The events of the replicated log are the exception: see
// Controller.handleEvent.
type panicLog struct {
	log   *slog.Logger
	count metrics.Counter
}

// record logs a recovered value with the place that it comes from.
func (p *panicLog) record(where string, value any) {
	if p == nil {
		return
	}
	p.count.Inc(1)
	p.log.Error("panic", "in", where, "value", fmt.Sprint(value), "stack", string(debug.Stack()))
}

// handler wraps an HTTP handler. After a panic the connection is closed without
// an answer, because the request may have run.
func (p *panicLog) handler(name string, h http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		defer func() {
			v := recover()
			if v == nil {
				return
			}
			if err, ok := v.(error); !ok || !errors.Is(err, http.ErrAbortHandler) {
				p.record(name, v)
			}
			panic(http.ErrAbortHandler)
		}()
		h.ServeHTTP(w, r)
	})
}
