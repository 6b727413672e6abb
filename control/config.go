package control

import (
	"encoding/hex"
	"fmt"
	"slices"

	"azurestair.example/azurestair"
)

const (
	// MaxHistory bounds the configuration versions that the state keeps.
	MaxHistory = 50
	// MaxHistoryWorkspaces bounds the workspaces of all versions together; the
	// current version is always kept. A version with the largest number of
	// workspaces takes 3 MB with its document, so that 50 of them would not fit
	// into the memory of a small control instance.
	MaxHistoryWorkspaces = 20_000
	// MaxHistoryBytes bounds the size of all versions together; the current
	// version is always kept. The state, its image and the stored snapshot of
	// the log each hold all versions, and a query of them has to fit into one
	// message.
	MaxHistoryBytes azurestair.Bytes = 6 << 20
	// MaxDiffLines bounds the diff in the result of a conflict.
	MaxDiffLines = 64
)

// ConfigRecord is one version of the configuration together with the change
// that created it.
type ConfigRecord struct {
	Config   *azurestair.Config      `cbor:"1,keyasint" json:"config"`
	Operator azurestair.OperatorName `cbor:"2,keyasint" json:"operator"`
	Reason   string                  `cbor:"3,keyasint" json:"reason"`
	ChangeID azurestair.ChangeID     `cbor:"4,keyasint" json:"changeId"`
	At       azurestair.UnixMillis   `cbor:"5,keyasint" json:"at"`
}

// Validate checks the record.
func (r ConfigRecord) Validate() error {
	if r.Config == nil {
		return fmt.Errorf("%w: configuration record without configuration", azurestair.ErrInvalid)
	}
	return r.Config.Validate()
}

// emptyConfig is the configuration before the first change, which has version
// 0.
var emptyConfig = &azurestair.Config{}

// Config returns the current configuration. It is immutable and never nil.
func (s *State) Config() *azurestair.Config {
	n := len(s.history)
	if n == 0 {
		return emptyConfig
	}
	return s.history[n-1].Config
}

// History returns the newest versions of the configuration, oldest first, as
// many as the limits of the history allow.
func (s *State) History() []ConfigRecord { return slices.Clip(s.history) }

func (s *State) applyConfig(c azurestair.Command) azurestair.Result {
	current := s.Config().Version
	if c.Config.Highest {
		return s.applyHighest(c)
	}
	if c.Config.BaseVersion != current {
		return azurestair.Result{
			Code:    azurestair.ResultConflict,
			Detail:  fmt.Sprintf("base version is %d, current version is %d", c.Config.BaseVersion, current),
			Version: current,
			Diff:    s.diff(c.Config.BaseVersion, current),
		}
	}
	next := c.Config.Config
	next.Version = current + 1
	if current == 0 && c.ListsHolders {
		s.holders = &HolderList{}
	}
	return s.pushConfig(c, &next)
}

// pushConfig makes next the current configuration.
func (s *State) pushConfig(c azurestair.Command, next *azurestair.Config) azurestair.Result {
	if s.fleet == "" {
		s.fleet = c.Fleet
	}
	s.history = newestVersions(append(s.History(), ConfigRecord{
		Config:   next,
		Operator: c.Config.Change.Operator,
		Reason:   c.Config.Change.Reason,
		ChangeID: c.Config.Change.ID,
		At:       c.At,
	}))
	return azurestair.Result{Code: azurestair.ResultAccepted, Version: next.Version}
}

// newestVersions returns a copy of the newest versions that the limits of the
// history allow, so that the others are released. The last version is always
// among them.
func newestVersions(list []ConfigRecord) []ConfigRecord {
	n, workspaces, size := 0, 0, azurestair.Bytes(0)
	for n < min(len(list), MaxHistory) {
		cfg := list[len(list)-1-n].Config
		workspaces += len(cfg.Workspaces)
		size += cfg.Size()
		if n > 0 && (workspaces > MaxHistoryWorkspaces || size > MaxHistoryBytes) {
			break
		}
		n++
	}
	return slices.Clone(list[len(list)-n:])
}

// applyHighest applies a configuration if its version is higher than the
// current one. Any other version is outdated. That is not an error, because the
// sender has no reason to send it again.
func (s *State) applyHighest(c azurestair.Command) azurestair.Result {
	current := s.Config().Version
	next := c.Config.Config
	if next.Version <= current {
		return azurestair.Result{Code: azurestair.ResultUnchanged, Version: current}
	}
	return s.pushConfig(c, &next)
}

// readConfig returns the configuration at the log position of the read.
func (s *State) readConfig() azurestair.Result {
	r := azurestair.Result{Code: azurestair.ResultAccepted, Version: s.Config().Version}
	if r.Version > 0 {
		r.Config = s.Config()
	}
	return r
}

// findConfig returns a version of the configuration, or nil if it is no longer
// kept.
func (s *State) findConfig(v azurestair.ConfigVersion) *azurestair.Config {
	if v == 0 {
		return emptyConfig
	}
	for _, r := range s.history {
		if r.Config.Version == v {
			return r.Config
		}
	}
	return nil
}

// diff lists the differences between two versions. It returns nil if one of
// them is no longer kept.
func (s *State) diff(from, to azurestair.ConfigVersion) []string {
	before, after := s.findConfig(from), s.findConfig(to)
	if before == nil || after == nil {
		return nil
	}
	return Diff(before, after)
}

// Diff lists the differences between two configurations, one line each. Beyond
// MaxDiffLines it adds a line with the number of omitted differences.
func Diff(before, after *azurestair.Config) []string {
	oldFields, newFields := configFields(before), configFields(after)
	oldValues, newValues := indexFields(oldFields), indexFields(newFields)
	var lines []string
	for _, f := range newFields {
		previous, ok := oldValues[f.name]
		if !ok {
			lines = append(lines, fmt.Sprintf("%s: added (%s)", f.name, f.value))
		} else if previous != f.value {
			lines = append(lines, fmt.Sprintf("%s: %s -> %s", f.name, previous, f.value))
		}
	}
	for _, f := range oldFields {
		if _, ok := newValues[f.name]; !ok {
			lines = append(lines, fmt.Sprintf("%s: removed (was %s)", f.name, f.value))
		}
	}
	if extra := len(lines) - MaxDiffLines; extra > 0 {
		lines = append(lines[:MaxDiffLines], fmt.Sprintf("and %d more", extra))
	}
	return lines
}

// configField is one named value of a configuration.
type configField struct {
	name, value string
}

func indexFields(fields []configField) map[string]string {
	m := make(map[string]string, len(fields))
	for _, f := range fields {
		m[f.name] = f.value
	}
	return m
}

// configFields lists the values of a configuration in a fixed order. Each name
// occurs once.
func configFields(c *azurestair.Config) []configField {
	fields := defaultFields(c.Defaults)
	for _, s := range c.Services {
		for _, o := range s.Operations {
			value := fmt.Sprintf("rank=%s idempotent=%t timeoutMs=%d maxBodyBytes=%d",
				o.Rank, o.Idempotent, o.TimeoutMs, o.MaxBodyBytes)
			fields = append(fields, configField{fmt.Sprintf("operation %s/%s", s.Name, o.Name), value})
		}
	}
	for _, r := range c.Routes {
		value := fmt.Sprintf("rank=%s idempotent=%t timeoutMs=%d maxAttempts=%d parts=%v homes=%v",
			r.Rank, r.Idempotent, r.TimeoutMs, r.MaxAttempts, r.Services, r.HomeRegions)
		if r.Public {
			value += " public"
		}
		fields = append(fields, configField{fmt.Sprintf("route %s%s", r.Host, r.PathPrefix), value})
	}
	for _, w := range c.Workspaces {
		fields = append(fields, configField{fmt.Sprintf("workspace %s", w.Name), workspaceValue(w)})
	}
	for _, r := range c.Regions {
		fields = append(fields, configField{fmt.Sprintf("region %s", r.Name), fmt.Sprintf("failureDomains=%v", r.FailureDomains)})
	}
	for _, l := range c.Links {
		name := fmt.Sprintf("link %s>%s", l.From, l.To)
		fields = append(fields, configField{name, fmt.Sprintf("limitBytesPerSecond=%d", l.Limit)})
	}
	seen := map[string]int{}
	for _, e := range c.Exceptions {
		name := fmt.Sprintf("exception %s %s %s", e.Target.Kind, e.Target.Name, e.Setting)
		seen[name]++
		if n := seen[name]; n > 1 {
			name = fmt.Sprintf("%s #%d", name, n)
		}
		fields = append(fields, configField{name, fmt.Sprintf("%d, reason %q", e.Value, e.Reason)})
	}
	return fields
}

func defaultFields(d azurestair.Defaults) []configField {
	return []configField{
		{"defaults.rankFloors", fmt.Sprint(d.RankFloors)},
		{"defaults.queueLimit", fmt.Sprint(d.QueueLimit)},
		{"defaults.retryPercent", fmt.Sprint(d.RetryPercent)},
		{"defaults.ejectPercent", fmt.Sprint(d.EjectPercent)},
		{"defaults.slowStartMs", fmt.Sprint(d.SlowStartMs)},
		{"defaults.shiftPercent", fmt.Sprint(d.ShiftPercent)},
		{"defaults.shiftIntervalMs", fmt.Sprint(d.ShiftIntervalMs)},
		{"defaults.lookupTtlMs", fmt.Sprint(d.LookupTTLMs)},
		{"defaults.lookupMovePercent", fmt.Sprint(d.LookupMovePercent)},
		{"defaults.probePercent", fmt.Sprint(d.ProbePercent)},
		{"defaults.keyLeaseMs", fmt.Sprint(d.KeyLeaseMs)},
		{"defaults.quotaSlack", fmt.Sprint(d.QuotaSlack)},
		{"defaults.retryBurst", fmt.Sprint(d.RetryBurst)},
		{"defaults.spreadObjects", fmt.Sprint(d.SpreadObjects)},
	}
}

// digestPrefixBytes is the number of bytes of a key's digest that a diff shows:
// enough to tell keys apart.
const digestPrefixBytes = 4

// workspaceValue describes a workspace. Of each key it shows the beginning of
// the digest.
func workspaceValue(w azurestair.Workspace) string {
	keys := make([]string, len(w.Keys))
	for i, k := range w.Keys {
		keys[i] = hex.EncodeToString(k[:digestPrefixBytes])
	}
	rank := "of route"
	if w.Rank != nil {
		rank = w.Rank.String()
	}
	return fmt.Sprintf("rank=%s homes=%v ratePerSecond=%v burst=%v keys=%v", rank, w.HomeRegions, w.RatePerSecond, w.Burst, keys)
}
