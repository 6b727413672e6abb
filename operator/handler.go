package operator

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"time"

	"github.com/gin-gonic/gin"

	"azurestair.example/azurestair"
	"azurestair.example/azurestair/control"
)

// Backend executes the requests of operators.
type Backend interface {
	azurestair.Proposer
	Query(ctx context.Context, q control.Query) (control.QueryResult, error)
	Status(ctx context.Context) Status
	// Ready returns nil if this instance may be listed in lookups, and the
	// reason otherwise.
	Ready() error
}

// Authorizer validates a bearer token and returns the name of its operator.
type Authorizer func(token string) (azurestair.OperatorName, error)

// Limits of the administration API.
const (
	// A configuration with the largest number of workspaces, each with two
	// digests of keys, takes 2.2 MB.
	maxBodyBytes   = 4 << 20
	requestTimeout = 10 * time.Second
	// pollInterval is the interval between two checks of a condition.
	pollInterval = 20 * time.Millisecond
)

type handler struct {
	backend Backend
	clock   azurestair.Clock
}

// NewHandler returns the HTTP handler; metrics may be nil.
func NewHandler(b Backend, auth Authorizer, clock azurestair.Clock, metrics http.Handler) http.Handler {
	gin.SetMode(gin.ReleaseMode)
	h := &handler{backend: b, clock: clock}
	e := gin.New()
	e.Use(gin.Recovery())
	e.GET("/healthz", func(c *gin.Context) { c.String(http.StatusOK, "ok\n") })
	e.GET("/readyz", h.ready)
	if metrics != nil {
		e.GET("/metrics", gin.WrapH(metrics))
	}
	v1 := e.Group("/v1", authorize(auth))
	v1.GET("/config", h.getConfig)
	v1.PUT("/config", submit(h, configCommand, h.addApplied))
	v1.GET("/config/history", h.history)
	v1.POST("/drain", submit(h, drainCommand(true), nil))
	v1.POST("/undrain", submit(h, drainCommand(false), nil))
	v1.POST("/members", submit(h, memberCommand, nil))
	v1.GET("/status", func(c *gin.Context) { c.JSON(http.StatusOK, h.backend.Status(c.Request.Context())) })
	v1.GET("/audit", h.audit)
	return e
}

// operatorContextKey is the key under which authorize stores the operator's
// name.
const operatorContextKey = "operator"

func authorize(auth Authorizer) gin.HandlerFunc {
	return func(c *gin.Context) {
		name, err := auth(azurestair.BearerToken(c.GetHeader("Authorization")))
		if err != nil {
			c.AbortWithStatusJSON(http.StatusUnauthorized, ErrorBody{Error: err.Error()})
			return
		}
		c.Set(operatorContextKey, name)
	}
}

func operatorName(c *gin.Context) azurestair.OperatorName {
	name, _ := c.Get(operatorContextKey)
	op, _ := name.(azurestair.OperatorName)
	return op
}

func (h *handler) ready(c *gin.Context) {
	if err := h.backend.Ready(); err != nil {
		c.String(http.StatusServiceUnavailable, "%s\n", err)
		return
	}
	c.String(http.StatusOK, "ready\n")
}

// writeError maps an error to its HTTP status.
func writeError(c *gin.Context, err error) {
	status := http.StatusInternalServerError
	switch {
	case errors.Is(err, azurestair.ErrInvalid):
		status = http.StatusBadRequest
	case errors.Is(err, azurestair.ErrNotFound):
		status = http.StatusNotFound
	case errors.Is(err, azurestair.ErrConflict):
		status = http.StatusConflict
	case errors.Is(err, azurestair.ErrTooLarge):
		status = http.StatusRequestEntityTooLarge
	case errors.Is(err, azurestair.ErrFull):
		status = http.StatusInsufficientStorage
	case errors.Is(err, azurestair.ErrNotLeader), errors.Is(err, azurestair.ErrNoQuorum),
		errors.Is(err, azurestair.ErrDeadline), errors.Is(err, azurestair.ErrClosed), errors.Is(err, context.DeadlineExceeded),
		errors.Is(err, azurestair.ErrVersion):
		status = http.StatusServiceUnavailable
	}
	c.JSON(status, ErrorBody{Error: err.Error()})
}

// decode decodes and validates a JSON body. It rejects unknown fields and
// trailing data.
func decode(c *gin.Context, v azurestair.Validator) error {
	dec := json.NewDecoder(http.MaxBytesReader(c.Writer, c.Request.Body, maxBodyBytes))
	dec.DisallowUnknownFields()
	if err := dec.Decode(v); err != nil {
		var tooLarge *http.MaxBytesError
		if errors.As(err, &tooLarge) {
			return fmt.Errorf("%w: body is larger than %d bytes", azurestair.ErrTooLarge, maxBodyBytes)
		}
		return fmt.Errorf("%w: body: %w", azurestair.ErrInvalid, err)
	}
	if _, err := dec.Token(); !errors.Is(err, io.EOF) {
		return fmt.Errorf("%w: body: trailing data after the JSON value", azurestair.ErrInvalid)
	}
	return v.Validate()
}

func (h *handler) getConfig(c *gin.Context) {
	ctx, cancel := context.WithTimeout(c.Request.Context(), requestTimeout)
	defer cancel()
	res, err := h.backend.Query(ctx, control.Query{History: true})
	if err != nil {
		writeError(c, err)
		return
	}
	var resp ConfigResponse
	if n := len(res.History); n > 0 {
		resp.Config = *res.History[n-1].Config
		resp.Version = resp.Config.Version
	}
	c.JSON(http.StatusOK, resp)
}

func (h *handler) history(c *gin.Context) {
	ctx, cancel := context.WithTimeout(c.Request.Context(), requestTimeout)
	defer cancel()
	res, err := h.backend.Query(ctx, control.Query{History: true})
	if err != nil {
		writeError(c, err)
		return
	}
	c.JSON(http.StatusOK, HistoryResponse{Versions: res.History})
}

// submit returns a handler that decodes a request, proposes the command that
// build derives from the request and its operator, and writes the result. If
// finish is not nil, it is called to complete the response before it is
// written.
func submit[Req any, P interface {
	*Req
	azurestair.Validator
}](h *handler, build func(Req, azurestair.OperatorName) azurestair.Command, finish func(*gin.Context, Req, *ChangeResponse),
) gin.HandlerFunc {
	return func(c *gin.Context) {
		var req Req
		if err := decode(c, P(&req)); err != nil {
			writeError(c, err)
			return
		}
		resp, ok := h.propose(c, build(req, operatorName(c)))
		if !ok {
			return
		}
		if finish != nil {
			finish(c, req, &resp)
		}
		writeChangeResponse(c, resp)
	}
}

func configCommand(req ConfigRequest, op azurestair.OperatorName) azurestair.Command {
	return azurestair.Command{Config: &azurestair.ConfigChange{
		Change:      azurestair.Change{ID: req.ChangeID, Operator: op, Reason: req.Reason},
		BaseVersion: req.BaseVersion,
		Config:      req.Config,
	}}
}

func drainCommand(drained bool) func(DrainRequest, azurestair.OperatorName) azurestair.Command {
	return func(req DrainRequest, op azurestair.OperatorName) azurestair.Command {
		return azurestair.Command{Drain: &azurestair.DrainChange{
			Change:  azurestair.Change{ID: req.ChangeID, Operator: op, Reason: req.Reason},
			Target:  req.Target,
			Drained: drained,
		}}
	}
}

func memberCommand(req MemberRequest, op azurestair.OperatorName) azurestair.Command {
	return azurestair.Command{Members: &azurestair.MemberChange{
		Change:   azurestair.Change{ID: req.ChangeID, Operator: op, Reason: req.Reason},
		Action:   req.Action,
		Instance: req.Instance,
	}}
}

// addApplied waits for the instances to apply an accepted configuration and
// lists in the response which of them have done so.
func (h *handler) addApplied(c *gin.Context, req ConfigRequest, resp *ChangeResponse) {
	if resp.Code != azurestair.ResultAccepted {
		return
	}
	wait := req.WaitMs
	if wait == 0 {
		wait = DefaultWaitMs
	}
	resp.AppliedBy, resp.NotAppliedBy = h.waitApplied(c.Request.Context(), resp.Version, wait)
}

// propose proposes a command. If it returns false, it has written an error
// response.
func (h *handler) propose(c *gin.Context, cmd azurestair.Command) (ChangeResponse, bool) {
	ctx, cancel := context.WithTimeout(c.Request.Context(), requestTimeout)
	defer cancel()
	if err := cmd.Validate(); err != nil {
		writeError(c, err)
		return ChangeResponse{}, false
	}
	res, err := h.backend.Propose(ctx, cmd)
	if err != nil {
		writeError(c, err)
		return ChangeResponse{}, false
	}
	return ChangeResponse{Code: res.Code, Detail: res.Detail, Version: res.Version, Diff: res.Diff}, true
}

func writeChangeResponse(c *gin.Context, resp ChangeResponse) {
	status := http.StatusOK
	switch resp.Code {
	case azurestair.ResultConflict:
		status = http.StatusConflict
	case azurestair.ResultInvalid:
		status = http.StatusBadRequest
	case azurestair.ResultNotFound:
		status = http.StatusNotFound
	case azurestair.ResultFull:
		status = http.StatusInsufficientStorage
	}
	c.JSON(status, resp)
}

// waitApplied waits until every known instance has applied the version, but no
// longer than wait. It returns the instances that have and have not applied it.
func (h *handler) waitApplied(ctx context.Context, version azurestair.ConfigVersion, wait azurestair.Millis) (applied, pending []azurestair.InstanceID) {
	deadline := h.clock.Now().Add(wait.Duration())
	ticker := time.NewTicker(pollInterval)
	defer ticker.Stop()
	for {
		if res, err := h.backend.Query(ctx, control.Query{Instances: true}); err == nil {
			applied, pending = splitByVersion(res.Instances, version)
		}
		if (len(pending) == 0 && len(applied) > 0) || h.clock.Now().After(deadline) {
			return applied, pending
		}
		select {
		case <-ctx.Done():
			return applied, pending
		case <-ticker.C:
		}
	}
}

func splitByVersion(instances []azurestair.InstanceInfo, version azurestair.ConfigVersion) (applied, pending []azurestair.InstanceID) {
	for _, i := range instances {
		if i.ActiveConfig >= version {
			applied = append(applied, i.ID)
			continue
		}
		pending = append(pending, i.ID)
	}
	return applied, pending
}

func (h *handler) audit(c *gin.Context) {
	q, err := auditQuery(c)
	if err != nil {
		writeError(c, err)
		return
	}
	ctx, cancel := context.WithTimeout(c.Request.Context(), requestTimeout)
	defer cancel()
	res, err := h.backend.Query(ctx, control.Query{Audit: &q})
	if err != nil {
		writeError(c, err)
		return
	}
	c.JSON(http.StatusOK, AuditResponse{Records: res.Audit})
}

func auditQuery(c *gin.Context) (control.AuditQuery, error) {
	q := control.AuditQuery{Operator: azurestair.OperatorName(c.Query("operator"))}
	limit, err := queryNumber(c, "limit")
	if err != nil {
		return q, err
	}
	from, err := queryNumber(c, "from")
	if err != nil {
		return q, err
	}
	to, err := queryNumber(c, "to")
	q.Limit, q.From, q.To = int(limit), azurestair.UnixMillis(from), azurestair.UnixMillis(to)
	return q, err
}

func queryNumber(c *gin.Context, name string) (int64, error) {
	s := c.Query(name)
	if s == "" {
		return 0, nil
	}
	n, err := strconv.ParseInt(s, 10, 64)
	if err != nil || n < 0 {
		return 0, fmt.Errorf("%w: %s = %q; allowed is an integer of at least 0", azurestair.ErrInvalid, name, s)
	}
	return n, nil
}
