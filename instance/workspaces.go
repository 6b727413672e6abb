package instance

import (
	"time"

	"azurestair.example/azurestair"
	"azurestair.example/azurestair/caller"
	"azurestair.example/azurestair/routing"
	"azurestair.example/azurestair/workspace"
)

// configIndex holds the indexes that are built when a configuration takes
// effect.
type configIndex struct {
	routes     *routing.Routes
	workspaces *workspace.Index
}

func newConfigIndex(cfg *azurestair.Config) configIndex {
	return configIndex{routes: routing.NewRoutes(cfg), workspaces: workspace.NewIndex(cfg)}
}

// confirmedAt returns the time at which the configuration in the snapshot was
// last known to be the newest, after a reply was applied. A leader that does not
// publish snapshots yet may have acknowledged a newer one.
func (m *Member) confirmedAt(e reportDoneEvent) time.Time {
	if e.reply.NewestConfig > m.snapshot.ConfigVersion() {
		return m.heardAt
	}
	return e.sent
}

// contact returns how far the configuration in the snapshot can be trusted.
func (m *Member) contact() workspace.Contact {
	heardAt := m.heardAt
	if m.provisional {
		// No leader has confirmed the snapshot, however recent it is.
		heardAt = time.Time{}
	}
	return workspace.NewContact(heardAt, maxRouteAge, m.snapshot.Config.Defaults.KeyLeaseMs)
}

// assignWorkspace determines the workspace of a request and applies its rank
// and home regions. ok is false if the request is rejected with the reply.
func (c *call) assignWorkspace(v *view) (reply caller.Reply, ok bool) {
	if v.workspaces.Len() == 0 {
		return caller.Reply{}, true
	}
	d := v.workspaces.Decide(workspace.Request{
		Public: c.route != nil && c.route.Public, HasKey: c.req.HasAPIKey, Key: c.req.APIKey,
	}, v.contact, c.entry.leaseNow())
	reason := d.Verdict.Reason()
	if d.Identity != nil {
		reason = d.Identity.Assign(&c.work)
		c.req.Workspace = c.work.Workspace
	}
	switch reason {
	case azurestair.ReasonNone:
		return caller.Reply{}, true
	case azurestair.ReasonWorkspaceKeyMissing, azurestair.ReasonWorkspaceKeyUnknown:
		return clearUnprovenNotRun(c.req, invalidReply(reason)), false
	default:
		return clearUnprovenNotRun(c.req, refusedReply(reason)), false
	}
}
