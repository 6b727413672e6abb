package upstream

import (
	"encoding/json"
	"errors"
	"io"
	"net/http"
	"time"

	"github.com/gin-gonic/gin"

	"azurestair.example/azurestair"
)

// maxAnnounceBytes bounds the body of an announcement.
const maxAnnounceBytes = 8 << 10

// AnnounceReply is what an entry answers to an announcement.
type AnnounceReply struct {
	AnnounceEveryMs azurestair.Millis `json:"announceEveryMs"`
	LeaseMs         azurestair.Millis `json:"leaseMs"`
	// Drained is true while an operator has drained the upstream. It then says
	// so in its answers, which also reach entries that have lost control.
	Drained bool `json:"drained,omitempty"`
	// Entries lists where upstreams may announce themselves.
	Entries []string `json:"entries"`
}

// ErrorBody is the body of an error answer.
type ErrorBody struct {
	Error string `json:"error"`
}

// Announcer takes announcements.
type Announcer interface {
	Announce(a azurestair.Announcement) (AnnounceReply, error)
}

// Authorizer checks a bearer token and returns the name that it belongs to.
type Authorizer func(token string) (name string, err error)

// NewAnnounceHandler returns the HTTP handler for announcements.
func NewAnnounceHandler(an Announcer, auth Authorizer) http.Handler {
	gin.SetMode(gin.ReleaseMode)
	e := gin.New()
	e.Use(gin.Recovery())
	e.POST("/v1/announce", func(c *gin.Context) { announce(c, an, auth) })
	return e
}

func announce(c *gin.Context, an Announcer, auth Authorizer) {
	if _, err := auth(azurestair.BearerToken(c.GetHeader("Authorization"))); err != nil {
		c.JSON(http.StatusUnauthorized, ErrorBody{Error: err.Error()})
		return
	}
	var a azurestair.Announcement
	dec := json.NewDecoder(http.MaxBytesReader(c.Writer, c.Request.Body, maxAnnounceBytes))
	if err := dec.Decode(&a); err != nil {
		c.JSON(http.StatusBadRequest, ErrorBody{Error: "announcement: " + err.Error()})
		return
	}
	if _, err := dec.Token(); !errors.Is(err, io.EOF) {
		c.JSON(http.StatusBadRequest, ErrorBody{Error: "announcement: text after the JSON value"})
		return
	}
	if err := a.Validate(); err != nil {
		c.JSON(http.StatusBadRequest, ErrorBody{Error: "announcement: " + err.Error()})
		return
	}
	reply, err := an.Announce(a)
	switch {
	case errors.Is(err, azurestair.ErrConflict):
		c.JSON(http.StatusConflict, ErrorBody{Error: err.Error()})
	case err != nil:
		c.JSON(http.StatusServiceUnavailable, ErrorBody{Error: err.Error()})
	default:
		c.JSON(http.StatusOK, reply)
	}
}

// AnnounceEvery is the interval at which an upstream announces itself. Three of
// them fit into its lease, so that one lost announcement costs nothing.
const AnnounceEvery = time.Second
