package operator

import (
	"fmt"

	"azurestair.example/azurestair"
	"azurestair.example/azurestair/control"
)

// ConfigResponse holds the current configuration.
type ConfigResponse struct {
	Version azurestair.ConfigVersion `json:"version"`
	Config  azurestair.Config        `json:"config"`
}

// ConfigRequest replaces the configuration if BaseVersion is still the current
// version.
type ConfigRequest struct {
	ChangeID    azurestair.ChangeID      `json:"changeId"`
	Reason      string                   `json:"reason"`
	BaseVersion azurestair.ConfigVersion `json:"baseVersion"`
	Config      azurestair.Config        `json:"config"`
	// WaitMs is the maximum time to wait for the instances to apply the change;
	// zero means DefaultWaitMs.
	WaitMs azurestair.Millis `json:"waitMs,omitempty"`
}

// Default and maximum of ConfigRequest.WaitMs.
const (
	DefaultWaitMs azurestair.Millis = 2_000
	MaxWaitMs     azurestair.Millis = 30_000
)

// Validate checks WaitMs. The other fields are validated as part of the
// command, which includes the operator.
func (r ConfigRequest) Validate() error {
	if r.WaitMs < 0 || r.WaitMs > MaxWaitMs {
		return fmt.Errorf("%w: waitMs = %d; allowed 0 to %d", azurestair.ErrInvalid, r.WaitMs, MaxWaitMs)
	}
	return nil
}

// DrainRequest drains a target or ends its drain.
type DrainRequest struct {
	ChangeID azurestair.ChangeID `json:"changeId"`
	Reason   string              `json:"reason"`
	Target   azurestair.Target   `json:"target"`
}

// Validate checks the target. The other fields are validated as part of the
// command, which includes the operator.
func (r DrainRequest) Validate() error { return r.Target.Validate() }

// MemberRequest changes the membership of the replicated log.
type MemberRequest struct {
	ChangeID azurestair.ChangeID     `json:"changeId"`
	Reason   string                  `json:"reason"`
	Action   azurestair.MemberAction `json:"action"`
	Instance azurestair.InstanceID   `json:"instance"`
}

// Validate checks the instance. The other fields are validated as part of the
// command, which includes the operator.
func (r MemberRequest) Validate() error { return azurestair.CheckName("instance", string(r.Instance)) }

// ChangeResponse is the result of a change.
type ChangeResponse struct {
	Code    azurestair.ResultCode    `json:"code"`
	Detail  string                   `json:"detail,omitempty"`
	Version azurestair.ConfigVersion `json:"version,omitempty"`
	// Diff lists the changes since the base version if there is a conflict.
	Diff []string `json:"diff,omitempty"`
	// AppliedBy and NotAppliedBy list the instances that have and have not
	// applied the change.
	AppliedBy    []azurestair.InstanceID `json:"inForce,omitempty"`
	NotAppliedBy []azurestair.InstanceID `json:"notInForce,omitempty"`
}

// HistoryResponse lists the most recent versions of the configuration, oldest
// first.
type HistoryResponse struct {
	Versions []control.ConfigRecord `json:"versions"`
}

// AuditResponse lists records of the audit trail, newest first.
type AuditResponse struct {
	Records []azurestair.AuditRecord `json:"records"`
}

// Budget is the status of a leased budget. Usable is the amount that the
// instance may use now, and Floor the amount that it may use without a lease.
type Budget struct {
	Resource string `json:"resource"`
	Usable   int64  `json:"usable"`
	Floor    int64  `json:"floor"`
	Leased   bool   `json:"leased"`
}

// UpstreamStatus is the status of an upstream.
type UpstreamStatus struct {
	Announcement azurestair.Announcement `json:"announcement"`
	Confirmed    bool                    `json:"confirmed"`
	Drained      bool                    `json:"drained"`
}

// ServiceStatus is the status of one service on an entry.
type ServiceStatus struct {
	Service azurestair.ServiceName `json:"service"`
	// Slots is the number of requests that the leases allow in progress.
	// Reserve is the part of them that is available to urgent requests only.
	Slots     azurestair.Slots      `json:"slots"`
	Reserve   azurestair.Slots      `json:"reserve"`
	Ranks     []RankStatus          `json:"ranks"`
	Upstreams []EntryUpstreamStatus `json:"workers"`
}

// RankStatus counts the requests of one rank. Floor, InProgress and Waiting are
// current values; the others are totals since the start of the process.
type RankStatus struct {
	Rank       string                       `json:"rank"`
	Floor      int                          `json:"floor"`
	InProgress int                          `json:"inProgress"`
	Waiting    int                          `json:"waiting"`
	Offered    uint64                       `json:"offered"`
	Admitted   uint64                       `json:"admitted"`
	Cancelled  uint64                       `json:"cancelled"`
	Refused    map[azurestair.Reason]uint64 `json:"refused"`
}

// EntryUpstreamStatus is the status of one upstream on an entry. Standing tells
// whether the upstream gets new requests and, if not, why. InFlight counts this
// entry's attempts, and Late those among them that timed out and still hold a
// slot.
type EntryUpstreamStatus struct {
	Upstream      azurestair.UpstreamID `json:"upstream"`
	Standing      string                `json:"standing"`
	InFlight      azurestair.Slots      `json:"inFlight"`
	Late          azurestair.Slots      `json:"late"`
	LatencyMicros int64                 `json:"latencyMicros"`
	Ejections     int                   `json:"ejections"`
}

// Status is the status of an instance.
type Status struct {
	Self azurestair.InstanceInfo `json:"self"`
	// Protocol holds the protocol version of the program and the oldest version
	// that it accepts.
	Protocol azurestair.ProtocolRange `json:"protocol"`
	// VersionMismatch lists the instances that were rejected in the last minute
	// because of their protocol version.
	VersionMismatch []azurestair.VersionError `json:"versionMismatch"`

	Leader        azurestair.InstanceID        `json:"leader,omitempty"`
	Term          azurestair.Term              `json:"term"`
	Commit        azurestair.Index             `json:"commit"`
	ConfigVersion azurestair.ConfigVersion     `json:"configVersion"`
	Current       bool                         `json:"current"`
	Instances     []azurestair.InstanceInfo    `json:"instances"`
	Upstreams     []UpstreamStatus             `json:"upstreams"`
	Drains        []azurestair.Drain           `json:"drains"`
	Budgets       []Budget                     `json:"budgets"`
	Services      []ServiceStatus              `json:"services"`
	Refusals      map[azurestair.Reason]int64  `json:"refusals"`
	Outcomes      map[azurestair.Outcome]int64 `json:"outcomes"`
	Replica       *ReplicaStatus               `json:"replica,omitempty"`
	// Workspaces holds the rate limits as the leader knows them; it is empty
	// while no leader answers.
	Workspaces []azurestair.QuotaStatus `json:"workspaces,omitempty"`
}

// ReplicaStatus is the state of the replicated log on an instance.
type ReplicaStatus struct {
	State   string                                     `json:"state"`
	Term    azurestair.Term                            `json:"term"`
	Leader  azurestair.InstanceID                      `json:"leader,omitempty"`
	Commit  azurestair.Index                           `json:"commit"`
	Applied azurestair.Index                           `json:"applied"`
	Members azurestair.Membership                      `json:"members"`
	Match   map[azurestair.InstanceID]azurestair.Index `json:"match,omitempty"`
	Claims  int                                        `json:"claims"`
	// RequiredVersion is the highest protocol version that any record of the
	// log has required.
	RequiredVersion azurestair.ProtocolVersion `json:"needs"`
	// Versions holds the protocol versions that the other members have
	// announced to the leader.
	Versions map[azurestair.InstanceID]azurestair.ProtocolVersion `json:"versions,omitempty"`
	// Joining is true until the stored log lists this instance as a learner.
	// The instance does not vote before that.
	Joining bool `json:"joining"`
	// StoreFull is true while the disk of the instance takes no more data. It
	// then stores no changes and is not elected.
	StoreFull bool `json:"storeFull,omitempty"`
}

// ErrorBody is the body of an error response.
type ErrorBody struct {
	Error string `json:"error"`
}
