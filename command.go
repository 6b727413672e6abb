package azurestair

import "fmt"

// Command is a change of the control state. Exactly one of its pointer fields
// is set. At is the time of the leader when it proposed the command; replicas
// use no other clock when they apply it.
type Command struct {
	At           UnixMillis       `cbor:"1,keyasint" json:"at"`
	Config       *ConfigChange    `cbor:"2,keyasint,omitempty" json:"config,omitempty"`
	Drain        *DrainChange     `cbor:"3,keyasint,omitempty" json:"drain,omitempty"`
	Claim        *Claim           `cbor:"4,keyasint,omitempty" json:"claim,omitempty"`
	Completion   *ClaimCompletion `cbor:"5,keyasint,omitempty" json:"finish,omitempty"`
	Members      *MemberChange    `cbor:"6,keyasint,omitempty" json:"members,omitempty"`
	HolderChange *HolderChange    `cbor:"7,keyasint,omitempty" json:"holder,omitempty"`
	// ListsHolders is set by leaders that assign floors only to listed holders.
	// Programs that predate the list of holders do not set it.
	ListsHolders bool `cbor:"8,keyasint,omitempty" json:"listsHolders,omitempty"`
	// Departure marks one incarnation of an upstream as taking no new requests.
	Departure *Departure `cbor:"9,keyasint,omitempty" json:"departure,omitempty"`
	// Read does not change the state. Its result is the configuration at its
	// position in the log, so that it includes all acknowledged changes
	// regardless of clock errors.
	Read *ConfigRead `cbor:"10,keyasint,omitempty" json:"read,omitempty"`
	// UpstreamList records the upstreams that the leader lists, for the next
	// leader.
	UpstreamList *UpstreamListChange `cbor:"11,keyasint,omitempty" json:"listing,omitempty"`
	// Fleet is set in a configuration change while the state has no fleet id.
	// The first one that is applied assigns it.
	Fleet FleetID `cbor:"12,keyasint,omitempty" json:"fleet,omitempty"`
}

// Validate checks the command.
func (c Command) Validate() error {
	n := 0
	var err error
	check := func(set bool, validate func() error) {
		if !set {
			return
		}
		n++
		if e := validate(); e != nil && err == nil {
			err = e
		}
	}
	check(c.Config != nil, func() error { return c.Config.Validate() })
	check(c.Drain != nil, func() error { return c.Drain.Validate() })
	check(c.Claim != nil, func() error { return c.Claim.Validate() })
	check(c.Completion != nil, func() error { return c.Completion.Validate() })
	check(c.Members != nil, func() error { return c.Members.Validate() })
	check(c.HolderChange != nil, func() error { return c.HolderChange.Validate() })
	check(c.Departure != nil, func() error { return c.Departure.Validate() })
	check(c.Read != nil, func() error { return nil })
	check(c.UpstreamList != nil, func() error { return c.UpstreamList.Validate() })
	if n != 1 {
		return fmt.Errorf("%w: a command must contain exactly one change, has %d", ErrInvalid, n)
	}
	if err == nil {
		err = c.Fleet.Validate()
	}
	return err
}

// Change identifies the operator of a change and its reason. ID is used to
// detect resends.
type Change struct {
	ID       ChangeID     `cbor:"id" json:"changeId"`
	Operator OperatorName `cbor:"operator" json:"operator"`
	Reason   string       `cbor:"reason" json:"reason"`
}

// Validate checks the change.
func (c Change) Validate() error {
	if err := CheckName("changeId", string(c.ID)); err != nil {
		return err
	}
	if err := CheckName("operator", string(c.Operator)); err != nil {
		return err
	}
	return CheckReason(c.Reason)
}

// ConfigChange replaces the configuration if BaseVersion is the current version
// or, if Highest is set, if the version of Config is higher than the current
// one.
type ConfigChange struct {
	Change      Change        `cbor:"change" json:"change"`
	BaseVersion ConfigVersion `cbor:"baseVersion" json:"baseVersion"`
	Config      Config        `cbor:"config" json:"config"`
	Highest     bool          `cbor:"highest,omitempty" json:"highest,omitempty"`
}

// Validate checks the change and its configuration.
func (c ConfigChange) Validate() error {
	if err := c.Change.Validate(); err != nil {
		return err
	}
	return c.Config.Validate()
}

// DrainChange drains a target or ends its drain.
type DrainChange struct {
	Change  Change `cbor:"change" json:"change"`
	Target  Target `cbor:"target" json:"target"`
	Drained bool   `cbor:"drained" json:"drained"`
}

// Validate checks the change.
func (d DrainChange) Validate() error {
	if err := d.Change.Validate(); err != nil {
		return err
	}
	return d.Target.Validate()
}

// MemberAction is the kind of a membership change.
type MemberAction string

const (
	// MemberAddLearner adds a non-voting replica.
	MemberAddLearner MemberAction = "addLearner"
	// MemberPromote makes a learner that has caught up a voter.
	MemberPromote MemberAction = "promote"
	// MemberRemove removes a voter or learner.
	MemberRemove MemberAction = "remove"
)

// MemberChange records a change of the log's membership in the audit trail.
type MemberChange struct {
	Change   Change       `cbor:"change" json:"change"`
	Action   MemberAction `cbor:"action" json:"action"`
	Instance InstanceID   `cbor:"instance" json:"instance"`
}

// Validate checks the change.
func (m MemberChange) Validate() error {
	switch m.Action {
	case MemberAddLearner, MemberPromote, MemberRemove:
	default:
		return fmt.Errorf("%w: member action %q; allowed are addLearner, promote and remove", ErrInvalid, m.Action)
	}
	if err := CheckName("instance", string(m.Instance)); err != nil {
		return err
	}
	return m.Change.Validate()
}

// Departure records that one incarnation of an upstream takes no new requests.
// It is replicated before the upstream is notified, because the upstream then
// relies on receiving none.
type Departure struct {
	Upstream    UpstreamID  `cbor:"1,keyasint" json:"upstream"`
	Incarnation Incarnation `cbor:"2,keyasint" json:"incarnation"`
}

// Validate checks the departure.
func (d Departure) Validate() error { return CheckName("upstream", string(d.Upstream)) }

// UpstreamListChange is a change of the list of upstreams. A leader that starts
// after all earlier leaders have stopped uses the recorded list instead of an
// empty one.
type UpstreamListChange struct {
	Listed  []Announcement `cbor:"1,keyasint,omitempty" json:"listed,omitempty"`
	Removed []UpstreamID   `cbor:"2,keyasint,omitempty" json:"removed,omitempty"`
}

// Validate checks the change.
func (l UpstreamListChange) Validate() error {
	for _, a := range l.Listed {
		if err := a.Validate(); err != nil {
			return err
		}
	}
	for _, id := range l.Removed {
		if err := CheckName("upstream", string(id)); err != nil {
			return err
		}
	}
	return nil
}

// ConfigRead requests the configuration at its position in the log.
type ConfigRead struct{}

// HolderChange adds an instance to the list of holders that may have floors, or
// removes it. It is proposed by the leader, not by an operator.
type HolderChange struct {
	Instance InstanceID `cbor:"1,keyasint" json:"instance"`
	Removed  bool       `cbor:"2,keyasint,omitempty" json:"removed,omitempty"`
}

// Validate checks the change.
func (h HolderChange) Validate() error { return CheckName("instance", string(h.Instance)) }

// ResultCode is the outcome of a command.
type ResultCode string

// Codes of a Result.
const (
	ResultAccepted  ResultCode = "accepted"
	ResultUnchanged ResultCode = "unchanged"
	ResultConflict  ResultCode = "conflict"
	ResultInvalid   ResultCode = "invalid"
	ResultFull      ResultCode = "full"
	ResultNotFound  ResultCode = "notFound"
	// ResultGranted means that the claiming entry may send the request.
	ResultGranted ResultCode = "granted"
	// ResultHeld means that another claim under the key is in progress.
	ResultHeld ResultCode = "held"
	// ResultKeyReused means that the key was used for a different request.
	ResultKeyReused ResultCode = "keyReused"
	// ResultRecorded means that the key has a final record.
	ResultRecorded ResultCode = "recorded"
)

// Result is the result of a command applied by the state machine.
type Result struct {
	Code    ResultCode    `cbor:"1,keyasint" json:"code"`
	Detail  string        `cbor:"2,keyasint,omitempty" json:"detail,omitempty"`
	Version ConfigVersion `cbor:"3,keyasint,omitempty" json:"version,omitempty"`
	Record  *ClaimRecord  `cbor:"4,keyasint,omitempty" json:"record,omitempty"`
	// Diff lists the changes since the base version of a conflicting change.
	Diff []string `cbor:"5,keyasint,omitempty" json:"diff,omitempty"`
	// Config is the result of a ConfigRead; nil if there is no configuration
	// yet.
	Config *Config `cbor:"6,keyasint,omitempty" json:"config,omitempty"`
}

// Validate checks the result.
func (r Result) Validate() error {
	if r.Code == "" {
		return fmt.Errorf("%w: result without code", ErrInvalid)
	}
	return nil
}

// AuditRecord is a record of the audit trail.
type AuditRecord struct {
	Index    Index         `cbor:"index" json:"index"`
	At       UnixMillis    `cbor:"at" json:"at"`
	Operator OperatorName  `cbor:"operator" json:"operator"`
	ChangeID ChangeID      `cbor:"changeId" json:"changeId"`
	Action   string        `cbor:"action" json:"action"`
	Reason   string        `cbor:"reason" json:"reason"`
	Result   ResultCode    `cbor:"result" json:"result"`
	Version  ConfigVersion `cbor:"version" json:"version"`
}
