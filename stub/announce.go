package stub

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"time"

	"azurestair.example/azurestair"
	"azurestair.example/azurestair/upstream"
)

// announceTimeout limits an announcement to one entry before the stub tries the
// next one.
const announceTimeout = 500 * time.Millisecond

// run announces the stub to one entry at each interval, and to all
// known entries immediately when its state changes.
func (u *Upstream) run(ctx context.Context) {
	client := &http.Client{Timeout: announceTimeout, Transport: &http.Transport{DialContext: u.opts.Dial}}
	defer client.CloseIdleConnections()
	next := 0
	for {
		delay := u.announceOnce(ctx, client, &next)
		t := time.NewTimer(delay)
		select {
		case <-ctx.Done():
			t.Stop()
			return
		case <-u.stateChanged:
			t.Stop()
			u.announceToAll(ctx, client)
		case <-t.C:
		}
	}
}

func (u *Upstream) announceOnce(ctx context.Context, client *http.Client, next *int) time.Duration {
	entries := u.knownEntries()
	for range entries {
		reply, err := u.announce(ctx, client, entries[*next%len(entries)])
		if err == nil {
			u.applyReply(reply)
			return reply.AnnounceEveryMs.Duration()
		}
		*next++
	}
	return announceTimeout
}

func (u *Upstream) announceToAll(ctx context.Context, client *http.Client) {
	for _, addr := range u.knownEntries() {
		_, _ = u.announce(ctx, client, addr)
	}
}

func (u *Upstream) knownEntries() []string {
	u.mu.Lock()
	defer u.mu.Unlock()
	if u.announcementsPaused {
		return nil
	}
	return u.entries
}

func (u *Upstream) applyReply(reply upstream.AnnounceReply) {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.drained = reply.Drained
	if len(reply.Entries) > 0 {
		u.entries = reply.Entries
	}
}

func (u *Upstream) announcement() azurestair.Announcement {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.sequence++
	return azurestair.Announcement{
		Upstream: u.opts.ID, Service: u.opts.Service, Addr: u.opts.Advertise, Region: u.opts.Region,
		FailureDomain: u.opts.FailureDomain, Slots: u.opts.Slots, MaxConns: u.opts.MaxConns, State: u.state,
		Incarnation: u.incarnation, Sequence: u.sequence,
		Load: azurestair.Load{InFlight: azurestair.Slots(u.inFlight), Queued: azurestair.Slots(u.queued)},
	}
}

func (u *Upstream) announce(ctx context.Context, client *http.Client, entry string) (upstream.AnnounceReply, error) {
	var reply upstream.AnnounceReply
	data, err := json.Marshal(u.announcement())
	if err != nil {
		return reply, err
	}
	r, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+entry+"/v1/announce", bytes.NewReader(data))
	if err != nil {
		return reply, err
	}
	r.Header.Set("Authorization", "Bearer "+u.opts.Token)
	resp, err := client.Do(r)
	if err != nil {
		return reply, err
	}
	defer resp.Body.Close() //nolint:errcheck // the body was read
	if resp.StatusCode != http.StatusOK {
		return reply, fmt.Errorf("entry %s answered %s", entry, resp.Status)
	}
	return reply, json.NewDecoder(resp.Body).Decode(&reply)
}
