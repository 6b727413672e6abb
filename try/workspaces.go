package try

import (
	"context"
	"fmt"
	"net/http"

	"azurestair.example/azurestair"
	"azurestair.example/azurestair/operator"
	"azurestair.example/azurestair/stub"
)

// Workspace of the embedded fleet and its API key.
const (
	workspaceName azurestair.WorkspaceName = "kit-shop"
	workspaceKey  string                   = "try-key-1"
)

// workspaces introduces a workspace and checks that requests need its key from
// then on, and that the key does not reach an upstream.
func (r *run) workspaces(ctx context.Context) (string, error) {
	cfg := fleet()
	cfg.Defaults.KeyLeaseMs = 4_500
	cfg.Workspaces = []azurestair.Workspace{{Name: workspaceName, Keys: []azurestair.KeyDigest{azurestair.KeyDigestOf(workspaceKey)}}}
	st, err := r.cluster.admin().Status(ctx)
	if err != nil {
		return "", err
	}
	resp, err := r.cluster.admin().Apply(ctx, operator.ConfigRequest{
		ChangeID: "try-3", Reason: "callers with keys", BaseVersion: st.ConfigVersion, Config: cfg,
	})
	if err != nil {
		return "", err
	}
	if len(resp.NotAppliedBy) > 0 {
		return "", fmt.Errorf("version %d is not in force on %v", resp.Version, resp.NotAppliedBy)
	}
	for _, key := range []string{"", "try-key-2"} {
		r.apiKey = key
		if err := r.expectStatus(ctx, http.MethodGet, "catalogue/browse/kit", "", http.StatusUnauthorized); err != nil {
			return "", err
		}
	}
	r.apiKey = workspaceKey
	for entry := range numEntries {
		got, err := r.send(ctx, entry, http.MethodGet, "catalogue/browse/kit", "", "")
		if err != nil {
			return "", err
		}
		workspace, key := got.header.Get(stub.HeaderWorkspace), got.header.Get(stub.HeaderHasKey)
		if got.status != http.StatusOK || workspace != string(workspaceName) || key != "" {
			return "", fmt.Errorf("entry %d got status %d, workspace %q, key at the upstream %q", entry, got.status, workspace, key)
		}
	}
	// A payment of before is repeated with a key.
	if err := r.expectStatus(ctx, http.MethodPost, "payment/pay", "pay-1", http.StatusUnprocessableEntity); err != nil {
		return "", err
	}
	if n := r.cluster.runs("pay-1"); n != 1 {
		return "", fmt.Errorf("request ran %d times instead of once", n)
	}
	return "401 without a key, the key stays at the entry", nil
}

// expectStatus sends a request to each entry and checks the status.
func (r *run) expectStatus(ctx context.Context, method, path, key string, want int) error {
	for entry := range numEntries {
		resp, err := r.send(ctx, entry, method, path, key, "2500 RWF")
		if err != nil {
			return err
		}
		if resp.status != want {
			return fmt.Errorf("entry %d got status %d instead of %d, outcome %s, body %q", entry, resp.status, want, resp.outcome, resp.body)
		}
	}
	return nil
}
