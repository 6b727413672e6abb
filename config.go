package azurestair

import (
	"cmp"
	"fmt"
	"slices"
)

// Limits on the size of a configuration.
const (
	MaxServices       = 64
	MaxOperations     = 64
	MaxRegions        = 16
	MaxFailureDomains = 64
	MaxExceptions     = 256
)

// Config is the configuration of the fleet: fleet-wide defaults and a list of
// exceptions, each with a reason. A Config must not be modified once it is in
// use.
type Config struct {
	Version    ConfigVersion `cbor:"version" json:"version" toml:"version"`
	Defaults   Defaults      `cbor:"defaults" json:"defaults" toml:"defaults"`
	Services   []Service     `cbor:"services" json:"services" toml:"services"`
	Regions    []Region      `cbor:"regions" json:"regions" toml:"regions"`
	Links      []Link        `cbor:"links,omitempty" json:"links,omitempty" toml:"links"`
	Exceptions []Exception   `cbor:"exceptions,omitempty" json:"exceptions,omitempty" toml:"exceptions"`
	// Routes select the service of a request by host and path. If there are
	// routes, requests are placed by object and no budgets are leased.
	Routes []Route `cbor:"routes,omitempty" json:"routes,omitempty" toml:"routes"`
	// Workspaces hold the API keys and rate limits of callers. If there are any,
	// requests on routes that are not public need a key.
	Workspaces []Workspace `cbor:"workspaces,omitempty" json:"workspaces,omitempty" toml:"workspaces"`
	// Clients bounds what clients may send and how long they may take.
	Clients ClientLimits `cbor:"clients,omitempty" json:"clients,omitzero" toml:"clients"`
	// Document is the configuration in the format in which it was received from
	// the operator's front end. It is stored so that it can be read back
	// unchanged.
	Document []byte `cbor:"document,omitempty" json:"document,omitempty" toml:"-"`
}

// LeasesBudgets reports whether the leader leases budgets with this
// configuration.
func (c *Config) LeasesBudgets() bool { return len(c.Routes) == 0 }

// Defaults holds the fleet-wide settings. WithDefaults replaces zero fields
// with built-in values.
type Defaults struct {
	// RankFloors is the guaranteed share of the slots of each rank, indexed by
	// Rank.
	RankFloors [NumRanks]Percent `cbor:"rankFloors" json:"rankFloors" toml:"rankFloors"`
	// QueueLimit is the maximum number of queued requests of each rank at an
	// entry.
	QueueLimit int `cbor:"queueLimit" json:"queueLimit" toml:"queueLimit"`
	// RetryPercent is the maximum number of retries in percent of the requests.
	RetryPercent Percent `cbor:"retryPercent" json:"retryPercent" toml:"retryPercent"`
	// EjectPercent is the maximum share of the upstreams of a service that may
	// be ejected at the same time.
	EjectPercent Percent `cbor:"ejectPercent" json:"ejectPercent" toml:"ejectPercent"`
	// SlowStartMs is the time over which the weight of a new upstream rises to
	// its full value.
	SlowStartMs Millis `cbor:"slowStartMs" json:"slowStartMs" toml:"slowStartMs"`
	// ShiftPercent limits the increase of cross-region requests into a region
	// within one shift interval, in percent of its slots.
	ShiftPercent Percent `cbor:"shiftPercent" json:"shiftPercent" toml:"shiftPercent"`
	// ShiftIntervalMs is the length of the shift interval.
	ShiftIntervalMs Millis `cbor:"shiftIntervalMs" json:"shiftIntervalMs" toml:"shiftIntervalMs"`
	// LookupTTLMs is how long a caller may use a lookup answer.
	LookupTTLMs Millis `cbor:"lookupTtlMs" json:"lookupTtlMs" toml:"lookupTtlMs"`
	// LookupMovePercent limits the share of the lookup slots that a planned
	// change moves within one shift interval.
	LookupMovePercent Percent `cbor:"lookupMovePercent" json:"lookupMovePercent" toml:"lookupMovePercent"`
	// ProbePercent limits the share of the slots that probes may use.
	ProbePercent Percent `cbor:"probePercent" json:"probePercent" toml:"probePercent"`
	// KeyLeaseMs is how long after its last contact with the leader an instance
	// accepts API keys; zero means without limit.
	KeyLeaseMs Millis `cbor:"keyLeaseMs,omitempty" json:"keyLeaseMs,omitempty" toml:"keyLeaseMs"`
	// QuotaSlack is the number of requests beyond the burst of a workspace that
	// all entries together may admit.
	QuotaSlack int `cbor:"quotaSlack,omitempty" json:"quotaSlack,omitempty" toml:"quotaSlack"`
	// RetryBurst is the number of retries of a service beyond RetryPercent that
	// all entries together may send in a burst; zero means a fixed number for
	// each entry.
	RetryBurst int `cbor:"retryBurst,omitempty" json:"retryBurst,omitempty" toml:"retryBurst"`
	// SpreadObjects makes the leader plan on how many upstreams each frequent
	// object is served.
	SpreadObjects bool `cbor:"spreadObjects,omitempty" json:"spreadObjects,omitempty" toml:"spreadObjects"`
}

// WithDefaults returns d with zero fields replaced by built-in values.
func (d Defaults) WithDefaults() Defaults {
	if d.RankFloors == ([NumRanks]Percent{}) {
		d.RankFloors = [NumRanks]Percent{RankDeferred: 10, RankInteractive: 20, RankUrgent: 30}
	}
	d.QueueLimit = cmp.Or(d.QueueLimit, 512)
	d.RetryPercent = cmp.Or(d.RetryPercent, 10)
	d.EjectPercent = cmp.Or(d.EjectPercent, 33)
	d.SlowStartMs = cmp.Or(d.SlowStartMs, 10_000)
	d.ShiftPercent = cmp.Or(d.ShiftPercent, 20)
	d.ShiftIntervalMs = cmp.Or(d.ShiftIntervalMs, 5_000)
	d.LookupTTLMs = cmp.Or(d.LookupTTLMs, 5_000)
	d.LookupMovePercent = cmp.Or(d.LookupMovePercent, 20)
	d.ProbePercent = cmp.Or(d.ProbePercent, 2)
	return d
}

// Validate checks the defaults.
func (d Defaults) Validate() error {
	total := Percent(0)
	for r, p := range d.RankFloors {
		if p < 0 || p > 100 {
			return fmt.Errorf("%w: defaults.rankFloors[%s] = %d; allowed 0 to 100", ErrInvalid, Rank(r), p)
		}
		total += p
	}
	if total > 90 {
		return fmt.Errorf("%w: defaults.rankFloors sum to %d; allowed at most 90", ErrInvalid, total)
	}
	checks := []struct {
		name     string
		v        int64
		min, max int64
	}{
		{"queueLimit", int64(d.QueueLimit), 0, 100_000},
		{"retryPercent", int64(d.RetryPercent), 0, 50},
		{"ejectPercent", int64(d.EjectPercent), 0, 50},
		{"slowStartMs", int64(d.SlowStartMs), 0, 600_000},
		{"shiftPercent", int64(d.ShiftPercent), 0, 100},
		{"shiftIntervalMs", int64(d.ShiftIntervalMs), 0, 600_000},
		{"lookupTtlMs", int64(d.LookupTTLMs), 0, 300_000},
		{"lookupMovePercent", int64(d.LookupMovePercent), 0, 100},
		{"probePercent", int64(d.ProbePercent), 0, 20},
		{"keyLeaseMs", int64(d.KeyLeaseMs), 0, 600_000},
		{"quotaSlack", int64(d.QuotaSlack), 0, 100_000},
		{"retryBurst", int64(d.RetryBurst), 0, 100_000},
	}
	for _, c := range checks {
		if c.v < c.min || c.v > c.max {
			return fmt.Errorf("%w: defaults.%s = %d; allowed %d to %d", ErrInvalid, c.name, c.v, c.min, c.max)
		}
	}
	return nil
}

// Service is a group of interchangeable upstreams and its operations.
type Service struct {
	Name       ServiceName `cbor:"name" json:"name" toml:"name"`
	Operations []Operation `cbor:"operations" json:"operations" toml:"operations"`
	// HealthPath is the path of the health check of an upstream; empty means
	// none.
	HealthPath string `cbor:"healthPath,omitempty" json:"healthPath,omitempty" toml:"healthPath"`
	// MaxConns limits the total number of connections from all entries to one
	// upstream; zero means that the limit announced by the upstream applies.
	MaxConns Conns `cbor:"maxConns,omitempty" json:"maxConns,omitempty" toml:"maxConns"`
	// ColdPerSecond is the number of requests per second from all entries
	// together that a cold upstream tolerates; zero means no limit.
	ColdPerSecond float64 `cbor:"coldPerSecond,omitempty" json:"coldPerSecond,omitempty" toml:"coldPerSecond"`
	// ColdMs is how long an upstream is cold after it has started.
	ColdMs Millis `cbor:"coldMs,omitempty" json:"coldMs,omitempty" toml:"coldMs"`
}

// Operation is a kind of request to a service.
type Operation struct {
	Name       OperationName `cbor:"name" json:"name" toml:"name"`
	Rank       Rank          `cbor:"rank" json:"rank" toml:"rank"`
	Idempotent bool          `cbor:"idempotent" json:"idempotent" toml:"idempotent"`
	// TimeoutMs is the timeout of requests without one and the maximum of the
	// timeout that a caller may set.
	TimeoutMs Millis `cbor:"timeoutMs" json:"timeoutMs" toml:"timeoutMs"`
	// MaxBodyBytes is the maximum size of the request body; zero means 1 MiB.
	MaxBodyBytes Bytes `cbor:"maxBodyBytes,omitempty" json:"maxBodyBytes,omitempty" toml:"maxBodyBytes"`
}

// DefaultMaxBody is the maximum size of a request body if the operation does
// not set one.
const DefaultMaxBody Bytes = 1 << 20

// BodyLimit returns the maximum size of the request body.
func (o Operation) BodyLimit() Bytes {
	if o.MaxBodyBytes > 0 {
		return o.MaxBodyBytes
	}
	return DefaultMaxBody
}

// Validate checks the service and its operations.
func (s Service) Validate() error {
	if err := CheckName("service name", string(s.Name)); err != nil {
		return err
	}
	if len(s.HealthPath) > MaxPrefixLen || s.MaxConns < 0 || s.MaxConns > MaxConns || s.ColdMs < 0 || s.ColdMs > MaxTimeoutMs ||
		!(s.ColdPerSecond >= 0 && s.ColdPerSecond <= float64(MaxSlots)) {
		return fmt.Errorf("%w: service %s: healthPath, maxConns, coldMs or coldPerSecond is out of range", ErrInvalid, s.Name)
	}
	if len(s.Operations) > MaxOperations {
		return fmt.Errorf("%w: service %s has %d operations; allowed 1 to %d", ErrInvalid, s.Name, len(s.Operations), MaxOperations)
	}
	seen := map[OperationName]bool{}
	for _, o := range s.Operations {
		if seen[o.Name] {
			return fmt.Errorf("%w: operation %s/%s is listed twice", ErrInvalid, s.Name, o.Name)
		}
		seen[o.Name] = true
		if err := o.Validate(); err != nil {
			return fmt.Errorf("service %s: %w", s.Name, err)
		}
	}
	return nil
}

// MaxTimeoutMs is the maximum timeout of a request.
const MaxTimeoutMs Millis = 600_000

// Validate checks the operation.
func (o Operation) Validate() error {
	if err := CheckName("operation name", string(o.Name)); err != nil {
		return err
	}
	if err := o.Rank.Validate(); err != nil {
		return err
	}
	if o.TimeoutMs < 1 || o.TimeoutMs > MaxTimeoutMs {
		return fmt.Errorf("%w: operation %s: timeoutMs = %d; allowed 1 to %d", ErrInvalid, o.Name, o.TimeoutMs, MaxTimeoutMs)
	}
	if o.MaxBodyBytes < 0 || o.MaxBodyBytes > 1<<30 {
		return fmt.Errorf("%w: operation %s: maxBodyBytes = %d; allowed 0 to %d", ErrInvalid, o.Name, o.MaxBodyBytes, 1<<30)
	}
	return nil
}

// Region is a region and its failure domains.
type Region struct {
	Name           RegionName          `cbor:"name" json:"name" toml:"name"`
	FailureDomains []FailureDomainName `cbor:"failureDomains" json:"failureDomains" toml:"failureDomains"`
}

// Link is the bandwidth from one region to another, in that direction only.
type Link struct {
	From  RegionName     `cbor:"from" json:"from" toml:"from"`
	To    RegionName     `cbor:"to" json:"to" toml:"to"`
	Limit BytesPerSecond `cbor:"limitBytesPerSecond" json:"limitBytesPerSecond" toml:"limitBytesPerSecond"`
}

// ExceptionSetting is the setting that an Exception overrides.
type ExceptionSetting string

const (
	// SettingWeight is the weight of an upstream or failure domain in percent
	// of its normal weight.
	SettingWeight ExceptionSetting = "weightPercent"
	// SettingSlots is the maximum number of slots used at an upstream.
	SettingSlots ExceptionSetting = "slots"
)

// TargetKind is the kind of a Target.
type TargetKind string

const (
	// TargetUpstream is a single upstream.
	TargetUpstream TargetKind = "upstream"
	// TargetFailureDomain is a failure domain and all its upstreams.
	TargetFailureDomain TargetKind = "failureDomain"
	// TargetInstance is an entry instance of azurestair.
	TargetInstance TargetKind = "instance"
)

// Target identifies what an exception or a drain applies to.
type Target struct {
	Kind TargetKind `cbor:"kind" json:"kind" toml:"kind"`
	Name string     `cbor:"name" json:"name" toml:"name"`
}

// Validate checks the target.
func (t Target) Validate() error {
	switch t.Kind {
	case TargetUpstream, TargetFailureDomain, TargetInstance:
	default:
		return fmt.Errorf("%w: target kind %q; allowed are upstream, failureDomain and instance", ErrInvalid, t.Kind)
	}
	return CheckName("target name", t.Name)
}

// Exception overrides a setting for a target.
type Exception struct {
	Target  Target           `cbor:"target" json:"target" toml:"target"`
	Setting ExceptionSetting `cbor:"setting" json:"setting" toml:"setting"`
	Value   int64            `cbor:"value" json:"value" toml:"value"`
	Reason  string           `cbor:"reason" json:"reason" toml:"reason"`
}

// Validate checks the exception.
func (e Exception) Validate() error {
	if err := e.Target.Validate(); err != nil {
		return err
	}
	if e.Target.Kind == TargetInstance {
		return fmt.Errorf("%w: exception for instance %s; allowed targets are upstream and failureDomain", ErrInvalid, e.Target.Name)
	}
	switch e.Setting {
	case SettingWeight, SettingSlots:
	default:
		return fmt.Errorf("%w: exception setting %q; allowed are weightPercent and slots", ErrInvalid, e.Setting)
	}
	if e.Value < 0 || e.Value > 1000 {
		return fmt.Errorf("%w: exception %s = %d; allowed 0 to 1000", ErrInvalid, e.Setting, e.Value)
	}
	return CheckReason(e.Reason)
}

// Validate checks the configuration, including references between its parts.
func (c *Config) Validate() error {
	if err := c.Defaults.Validate(); err != nil {
		return err
	}
	if len(c.Services) > MaxServices || len(c.Regions) > MaxRegions || len(c.Exceptions) > MaxExceptions {
		return fmt.Errorf("%w: more than %d services, %d regions or %d exceptions", ErrInvalid, MaxServices, MaxRegions, MaxExceptions)
	}
	if err := c.Clients.Validate(); err != nil {
		return err
	}
	if err := c.validateServices(); err != nil {
		return err
	}
	if err := c.validateWorkspaces(); err != nil {
		return err
	}
	if err := c.validateRoutes(); err != nil {
		return err
	}
	regions, err := c.validateRegions()
	if err != nil {
		return err
	}
	if err := c.validateLinks(regions); err != nil {
		return err
	}
	for _, e := range c.Exceptions {
		if err := e.Validate(); err != nil {
			return err
		}
	}
	return nil
}

func (c *Config) validateServices() error {
	seen := map[ServiceName]bool{}
	for _, s := range c.Services {
		if seen[s.Name] {
			return fmt.Errorf("%w: service %s is listed twice", ErrInvalid, s.Name)
		}
		seen[s.Name] = true
		if err := s.Validate(); err != nil {
			return err
		}
		if len(s.Operations) == 0 && c.LeasesBudgets() {
			return fmt.Errorf("%w: service %s has 0 operations; allowed 1 to %d", ErrInvalid, s.Name, MaxOperations)
		}
	}
	return nil
}

// MaxDocument is the maximum size of the document stored with a configuration.
const MaxDocument Bytes = 4 << 20

func (c *Config) validateRoutes() error {
	if len(c.Routes) > MaxRoutes || Bytes(len(c.Document)) > MaxDocument {
		return fmt.Errorf("%w: more than %d routes or a document of more than %d bytes", ErrInvalid, MaxRoutes, MaxDocument)
	}
	services := map[ServiceName]bool{}
	for _, s := range c.Services {
		services[s.Name] = true
	}
	for _, r := range c.Routes {
		if err := r.Validate(); err != nil {
			return err
		}
		for _, p := range r.Services {
			if !services[p.Service] {
				return fmt.Errorf("%w: route %s names the unknown service %s", ErrInvalid, r.Name, p.Service)
			}
		}
	}
	return nil
}

// Service returns the service with the given name.
func (c *Config) Service(name ServiceName) (Service, bool) {
	for _, s := range c.Services {
		if s.Name == name {
			return s, true
		}
	}
	return Service{}, false
}

func (c *Config) validateRegions() (map[RegionName]bool, error) {
	regions := map[RegionName]bool{}
	domains := map[FailureDomainName]bool{}
	for _, r := range c.Regions {
		if err := CheckName("region name", string(r.Name)); err != nil {
			return nil, err
		}
		if regions[r.Name] {
			return nil, fmt.Errorf("%w: region %s is listed twice", ErrInvalid, r.Name)
		}
		regions[r.Name] = true
		for _, d := range r.FailureDomains {
			if err := CheckName("failure domain name", string(d)); err != nil {
				return nil, err
			}
			if domains[d] {
				return nil, fmt.Errorf("%w: failure domain %s is listed twice", ErrInvalid, d)
			}
			domains[d] = true
		}
	}
	if len(domains) > MaxFailureDomains {
		return nil, fmt.Errorf("%w: %d failure domains; allowed %d", ErrInvalid, len(domains), MaxFailureDomains)
	}
	return regions, nil
}

func (c *Config) validateLinks(regions map[RegionName]bool) error {
	seen := map[[2]RegionName]bool{}
	for _, l := range c.Links {
		if !regions[l.From] || !regions[l.To] || l.From == l.To {
			return fmt.Errorf("%w: link %s to %s needs two different listed regions", ErrInvalid, l.From, l.To)
		}
		if seen[[2]RegionName{l.From, l.To}] {
			return fmt.Errorf("%w: link %s to %s is listed twice", ErrInvalid, l.From, l.To)
		}
		seen[[2]RegionName{l.From, l.To}] = true
		if l.Limit < 1 {
			return fmt.Errorf("%w: link %s to %s: limitBytesPerSecond must be positive", ErrInvalid, l.From, l.To)
		}
	}
	return nil
}

// HasResource reports whether the configuration has a budget for the resource.
func (c *Config) HasResource(r Resource) bool {
	if r.Kind == ResourceLink {
		return slices.ContainsFunc(c.Links, func(l Link) bool { return l.From == r.From && l.To == r.Region })
	}
	_, hasService := c.Service(r.Service)
	return hasService && slices.ContainsFunc(c.Regions, func(g Region) bool { return g.Name == r.Region })
}

// Operation returns the operation of a service with the given name.
func (c *Config) Operation(s ServiceName, o OperationName) (Operation, bool) {
	for i := range c.Services {
		if c.Services[i].Name != s {
			continue
		}
		for _, op := range c.Services[i].Operations {
			if op.Name == o {
				return op, true
			}
		}
	}
	return Operation{}, false
}

// RequiredVersion returns the oldest protocol version whose programs serve
// requests by the configuration as this program does.
func (c *Config) RequiredVersion() ProtocolVersion {
	switch {
	case c == nil:
		return ProtocolUnannounced
	case c.needsWorkspaceProtocol():
		return ProtocolWorkspaces
	case c.needsRoutedProtocol():
		return ProtocolRouted
	default:
		return ProtocolUnannounced
	}
}

// CheckProgram returns an ErrVersion if a program of the given version would not
// serve requests by the configuration as this program does.
func (c *Config) CheckProgram(v ProtocolVersion) error {
	if required := c.RequiredVersion(); v < required {
		return fmt.Errorf("%w: the configuration needs version %d and the instance has %d", ErrVersion, required, v)
	}
	return nil
}

// needsWorkspaceProtocol reports whether the configuration uses features that
// were introduced with ProtocolWorkspaces.
func (c *Config) needsWorkspaceProtocol() bool {
	d := c.Defaults
	return len(c.Workspaces) > 0 || d.KeyLeaseMs != 0 || d.QuotaSlack != 0 || d.RetryBurst != 0 || d.SpreadObjects ||
		c.Clients != (ClientLimits{}) || slices.ContainsFunc(c.Routes, func(r Route) bool { return r.Public })
}

// needsRoutedProtocol reports whether the configuration uses features that were
// introduced with ProtocolRouted.
func (c *Config) needsRoutedProtocol() bool {
	if len(c.Routes) > 0 || len(c.Document) > 0 {
		return true
	}
	for _, s := range c.Services {
		if len(s.Operations) == 0 || s.HealthPath != "" || s.MaxConns > 0 || s.ColdPerSecond > 0 || s.ColdMs > 0 {
			return true
		}
	}
	return false
}
