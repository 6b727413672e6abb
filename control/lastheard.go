package control

import (
	"time"

	"azurestair.example/azurestair"
)

// contactWindow is how recently an instance must have been heard to become a
// learner, or to count as one. Instances report once a second and stay listed
// for InstanceLease after they have ended.
const contactWindow = 2 * time.Second

// lastHeard holds when each member of the log was last heard.
type lastHeard map[azurestair.InstanceID]time.Time

func isRecent(heardAt, now time.Time) bool { return now.Sub(heardAt) < contactWindow }

// countRecent returns how many of the members were heard recently.
func (h lastHeard) countRecent(members []azurestair.InstanceID, now time.Time) int {
	n := 0
	for _, id := range members {
		if isRecent(h[id], now) {
			n++
		}
	}
	return n
}

// longestSilent returns the member that has been silent the longest, or an empty
// id if none has been silent for the given time.
func (h lastHeard) longestSilent(members []azurestair.InstanceID, after time.Duration, now time.Time) azurestair.InstanceID {
	var found azurestair.InstanceID
	for _, id := range members {
		if now.Sub(h[id]) >= after && (found == "" || h[id].Before(h[found])) {
			found = id
		}
	}
	return found
}

func later(a, b time.Time) time.Time {
	if b.After(a) {
		return b
	}
	return a
}
