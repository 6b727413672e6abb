// Package workspace finds the workspace of a request by its API key, and decides
// whether the request is served.
//
// The index of the keys is built when a configuration takes effect. A key that
// is not in it may be in a newer configuration, and a key that is in it may have
// been revoked by one. How far this instance may trust its configuration is
// given by two deadlines in Contact, which follow from when it last heard from
// the leader.
package workspace

import (
	"slices"
	"time"

	"azurestair.example/azurestair"
)

// Identity is a workspace as the sender of a request.
type Identity struct {
	*azurestair.Workspace
	// Caller identifies the workspace for fair queueing. It differs from every
	// name and client block that a caller without a workspace can have.
	Caller azurestair.CallerID
}

// callerPrefix begins the caller ID of a workspace. Names of callers contain no
// slash, and client blocks begin with an address.
const callerPrefix = "workspace/"

// Index finds the workspace of an API key. It is immutable. The zero value and
// nil have no workspaces.
type Index struct {
	byKey map[azurestair.KeyDigest]*Identity
	// count is the number of workspaces, including those without keys.
	count int
}

// NewIndex indexes the workspaces of a configuration.
func NewIndex(cfg *azurestair.Config) *Index {
	x := &Index{count: len(cfg.Workspaces), byKey: make(map[azurestair.KeyDigest]*Identity, len(cfg.Workspaces))}
	identities := make([]Identity, len(cfg.Workspaces))
	for i := range cfg.Workspaces {
		w := &cfg.Workspaces[i]
		identities[i] = Identity{Workspace: w, Caller: azurestair.CallerID(callerPrefix + string(w.Name))}
		for _, k := range w.Keys {
			// The zero digest stands for a key that belongs to no workspace.
			if k != (azurestair.KeyDigest{}) {
				x.byKey[k] = &identities[i]
			}
		}
	}
	return x
}

// Len returns the number of workspaces.
func (x *Index) Len() int {
	if x == nil {
		return 0
	}
	return x.count
}

// Find returns the workspace of a key, or nil if there is none.
func (x *Index) Find(key azurestair.KeyDigest) *Identity {
	if x == nil {
		return nil
	}
	return x.byKey[key]
}

// Verdict is the kind of a Decision.
type Verdict uint8

const (
	// Open means that the request needs no workspace: there are none, or its
	// route is public. A key that it carries is not looked at.
	Open Verdict = iota + 1
	// Served means that the request belongs to a workspace.
	Served
	// KeyMissing means that the request needs a key and has none.
	KeyMissing
	// KeyUnknown means that the key belongs to no workspace.
	KeyUnknown
	// KeysUnknown means that this instance does not know the newest
	// configuration well enough to decide.
	KeysUnknown
)

// Reason returns the reason of a refusal, or ReasonNone if the request is
// served.
func (v Verdict) Reason() azurestair.Reason {
	switch v {
	case KeyMissing:
		return azurestair.ReasonWorkspaceKeyMissing
	case KeyUnknown:
		return azurestair.ReasonWorkspaceKeyUnknown
	case KeysUnknown:
		return azurestair.ReasonKeysUnknown
	default:
		return azurestair.ReasonNone
	}
}

// Decision is the decision on a request. Identity is set for Served only.
type Decision struct {
	Verdict  Verdict
	Identity *Identity
}

// Request is what the decision on a request depends on.
type Request struct {
	// Public is true if the request is on a public route.
	Public bool
	// HasKey is true if the request carries a key; Key is then its digest.
	HasKey bool
	Key    azurestair.KeyDigest
}

// Contact tells how far the configuration of this instance can be trusted.
type Contact struct {
	// RejectUntil is the time until which a key that is missing or not in the
	// index is rejected. After that, a newer configuration may contain it.
	RejectUntil time.Time
	// HasLease is true if keys may be accepted only until KeysUntil. After that,
	// a newer configuration may have revoked them.
	HasLease  bool
	KeysUntil time.Time
}

// NewContact returns the contact of an instance that sent the last report that
// the leader has answered at heardAt, which is zero if no leader has answered
// yet. Keys have a lease if keyLease is not zero.
func NewContact(heardAt time.Time, rejectFor time.Duration, keyLease azurestair.Millis) Contact {
	if heardAt.IsZero() {
		return Contact{HasLease: keyLease > 0}
	}
	return Contact{RejectUntil: heardAt.Add(rejectFor), HasLease: keyLease > 0, KeysUntil: heardAt.Add(keyLease.Duration())}
}

// Decide decides whether a request is served at now, and in which workspace.
func (x *Index) Decide(r Request, c Contact, now time.Time) Decision {
	if x.Len() == 0 || r.Public {
		return Decision{Verdict: Open}
	}
	if r.HasKey {
		if c.HasLease && !now.Before(c.KeysUntil) {
			return Decision{Verdict: KeysUnknown}
		}
		if id := x.Find(r.Key); id != nil {
			return Decision{Verdict: Served, Identity: id}
		}
	}
	switch {
	case now.After(c.RejectUntil):
		return Decision{Verdict: KeysUnknown}
	case r.HasKey:
		return Decision{Verdict: KeyUnknown}
	default:
		return Decision{Verdict: KeyMissing}
	}
}

// Assign makes work a request of the workspace. It returns ReasonHomeRegions if
// the home regions of the workspace and of the route have no region in common.
func (id *Identity) Assign(work *azurestair.RequestInfo) azurestair.Reason {
	work.Workspace, work.Caller = id.Name, id.Caller
	if id.Rank != nil {
		work.Rank = *id.Rank
	}
	homes, ok := commonRegions(work.HomeRegions, id.HomeRegions)
	if !ok {
		return azurestair.ReasonHomeRegions
	}
	work.HomeRegions = homes
	return azurestair.ReasonNone
}

// commonRegions returns the regions that both lists allow; an empty list allows
// all. ok is false if they allow none in common.
func commonRegions(a, b []azurestair.RegionName) (common []azurestair.RegionName, ok bool) {
	switch {
	case len(a) == 0:
		return b, true
	case len(b) == 0:
		return a, true
	}
	for _, r := range a {
		if slices.Contains(b, r) {
			common = append(common, r)
		}
	}
	return common, len(common) > 0
}
