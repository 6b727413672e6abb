package control

import (
	"slices"

	"azurestair.example/azurestair"
)

// Idempotency keys are scoped by workspace: workspaces that choose the same key
// do not see each other's requests.
//
// While workspaces are being introduced or removed, the same request can reach
// one entry with a workspace and another one without. A request that may have
// run in one of the two scopes is therefore not granted in the other. Requests
// of two workspaces are always different ones.

// addScoped adds a record that has a workspace to the index.
func (l *ledger) addScoped(n *expiryNode) {
	k := n.record.key()
	if k.workspace == "" {
		return
	}
	k.workspace = ""
	if l.scoped == nil {
		l.scoped = map[claimKey][]*expiryNode{}
	}
	l.scoped[k] = append(l.scoped[k], n)
}

// removeScoped removes a record that has a workspace from the index.
func (l *ledger) removeScoped(n *expiryNode) {
	k := n.record.key()
	if k.workspace == "" {
		return
	}
	k.workspace = ""
	l.scoped[k] = slices.DeleteFunc(l.scoped[k], func(o *expiryNode) bool { return o == n })
	if len(l.scoped[k]) == 0 {
		delete(l.scoped, k)
	}
}

// otherScope returns the records of the key without a workspace, or with any if
// the workspace is empty.
func (l *ledger) otherScope(k claimKey) []*expiryNode {
	unscoped := k
	unscoped.workspace = ""
	if k.workspace == "" {
		return l.scoped[unscoped]
	}
	if n, ok := l.byKey[unscoped]; ok {
		return []*expiryNode{n}
	}
	return nil
}

// mayHaveRunInOtherScope reports whether the same request was granted with a
// workspace, if the claim has none, or without one.
func (l *ledger) mayHaveRunInOtherScope(c azurestair.Claim) bool {
	return slices.ContainsFunc(l.otherScope(claimKey{c.Service, c.Key, c.Workspace}), func(n *expiryNode) bool {
		return n.record.State != azurestair.ClaimNotRun && !n.record.isReusedBy(c)
	})
}

// queryClaim returns the record of a key. If there is none that says that a
// request ran, it returns one of the other scope that does, without its answer.
func (s *State) queryClaim(q azurestair.ClaimQuery) (azurestair.ClaimRecord, bool) {
	k := claimKey{q.Service, q.Key, q.Workspace}
	n, ok := s.ledger.byKey[k]
	if ok && n.record.State != azurestair.ClaimNotRun {
		return *n.record.toClaimRecord(), true
	}
	for _, other := range s.ledger.otherScope(k) {
		if other.record.State != azurestair.ClaimNotRun {
			r := *other.record.toClaimRecord()
			r.Answer = nil
			return r, true
		}
	}
	if !ok {
		return azurestair.ClaimRecord{}, false
	}
	return *n.record.toClaimRecord(), true
}
