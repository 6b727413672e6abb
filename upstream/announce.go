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

// AnnounceReply is the response of an entry to an announcement.
type AnnounceReply struct {
	AnnounceEveryMs azurestair.Millis `json:"announceEveryMs"`
	LeaseMs         azurestair.Millis `json:"leaseMs"`
	// Drained is true while an operator has drained the upstream. The upstream
	// then reports it in its responses, which also reach entries that have lost
	// contact with the control instances.
	Drained bool `json:"drained,omitempty"`
	// Entries lists the addresses that accept announcements.
	Entries []string `json:"entries"`
}

// ErrorBody is the JSON body of an error response.
type ErrorBody struct {
	Error string `json:"error"`
}

// Announcer processes announcements.
type Announcer interface {
	Announce(a azurestair.Announcement) (AnnounceReply, error)
}

// Authorizer validates a bearer token and returns the name of its owner.
type Authorizer func(token string) (name string, err error)

// NewAnnounceHandler returns the HTTP handler for announcements.
func NewAnnounceHandler(announcer Announcer, auth Authorizer) http.Handler {
	gin.SetMode(gin.ReleaseMode)
	e := gin.New()
	e.Use(gin.Recovery())
	e.POST("/v1/announce", func(c *gin.Context) { handleAnnounce(c, announcer, auth) })
	return e
}

func handleAnnounce(c *gin.Context, announcer Announcer, auth Authorizer) {
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
		c.JSON(http.StatusBadRequest, ErrorBody{Error: "announcement: trailing data after the JSON value"})
		return
	}
	if err := a.Validate(); err != nil {
		c.JSON(http.StatusBadRequest, ErrorBody{Error: "announcement: " + err.Error()})
		return
	}
	reply, err := announcer.Announce(a)
	switch {
	case errors.Is(err, azurestair.ErrConflict):
		c.JSON(http.StatusConflict, ErrorBody{Error: err.Error()})
	case err != nil:
		c.JSON(http.StatusServiceUnavailable, ErrorBody{Error: err.Error()})
	default:
		c.JSON(http.StatusOK, reply)
	}
}

// AnnounceInterval is the interval at which an upstream announces itself. Its
// lease spans three intervals, so that one lost announcement has no effect.
const AnnounceInterval = time.Second
