package settings

import (
	"net/netip"
	"slices"
	"strings"

	"azurestair.example/azurestair"
)

// maxTokens limits the number of tokens in one list.
const maxTokens = 256

// limitRange is the allowed range of a key in the limits table.
type limitRange struct {
	key      string
	value    func(Limits) int64
	min, max int64
}

var limitRanges = []limitRange{
	{"maxHeaderBytes", func(l Limits) int64 { return int64(l.MaxHeaderBytes) }, 1 << 10, 1 << 20},
	{"maxConns", func(l Limits) int64 { return int64(l.MaxConns) }, 1, 1_000_000},
	{"maxRequestsInFlight", func(l Limits) int64 { return int64(l.MaxRequestsInFlight) }, 1, 1_000_000},
	{"headerTimeoutMs", func(l Limits) int64 { return int64(l.HeaderTimeoutMs) }, 100, 60_000},
	{"bodyTimeoutMs", func(l Limits) int64 { return int64(l.BodyTimeoutMs) }, 100, 600_000},
	{"idleTimeoutMs", func(l Limits) int64 { return int64(l.IdleTimeoutMs) }, 1_000, 600_000},
	{"shutdownGraceMs", func(l Limits) int64 { return int64(l.ShutdownGraceMs) }, 1, 600_000},
	{"memoryBytes", func(l Limits) int64 { return int64(l.MemoryBytes) }, 0, 1 << 40},
}

var logLevels = []string{"debug", "info", "warn", "error"}

func (d *decoder) checkSettings(s *Settings) {
	d.checkInstance(s.Instance)
	d.checkListen(s)
	d.checkVoters(s)
	d.checkTLS(s)
	d.checkTokens("tokens.operators", s.Tokens.Operators)
	d.checkTokens("tokens.upstreams", s.Tokens.Upstreams)
	d.checkLimits(s.Limits)
	d.checkAllowed("log.level", s.Log.Level, logLevels...)
	d.checkAllowed("log.format", s.Log.Format, LogFormat)
}

// hasError reports whether path or one of its children already has an error, so
// that follow-up errors can be suppressed. Once maxErrors is reached it always
// returns true.
func (d *decoder) hasError(path string) bool {
	return len(d.errs) >= maxErrors || slices.ContainsFunc(d.errs, func(e *Error) bool {
		rest, ok := strings.CutPrefix(e.Key, path)
		return ok && (rest == "" || rest[0] == '.' || rest[0] == '[')
	})
}

// checkName checks the syntax of an identifier.
func (d *decoder) checkName(path, name string) {
	if d.hasError(path) {
		return
	}
	if err := azurestair.CheckName("name", name); err != nil {
		d.addError(path, "is %q; allowed are 1 to %d letters, digits, '.', '_' and '-', a letter or digit first",
			name, azurestair.MaxNameLen)
	}
}

func (d *decoder) checkAllowed(path, got string, allowed ...string) {
	if !d.hasError(path) && !slices.Contains(allowed, got) {
		d.addError(path, "is %q; allowed is %s", got, strings.Join(allowed, ", "))
	}
}

func (d *decoder) checkInstance(i Instance) {
	d.checkName("instance.id", string(i.ID))
	d.checkName("instance.region", string(i.Region))
	d.checkName("instance.failureDomain", string(i.FailureDomain))
	if len(i.Roles) == 0 && !d.hasError("instance.roles") {
		d.addError("instance.roles", "is empty; allowed are entry, control or both")
	}
	for n, r := range i.Roles {
		path := indexPath("instance.roles", n)
		d.checkAllowed(path, string(r), string(RoleEntry), string(RoleControl))
		if slices.Index(i.Roles, r) < n {
			d.addError(path, "%q is listed twice; allowed is once", r)
		}
	}
	if i.Has(RoleControl) && i.DataDir == "" && !d.hasError("instance.dataDir") {
		d.addError("instance.dataDir", "is missing; allowed is a directory, needed for the role control")
	}
}

func (d *decoder) checkListen(s *Settings) {
	entry := s.Instance.Has(RoleEntry)
	seen := map[string]string{}
	for _, l := range []struct {
		key, addr string
		required  bool
	}{
		{"callers", s.Listen.Callers, entry},
		{"upstreams", s.Listen.Upstreams, entry},
		{"operators", s.Listen.Operators, true},
		{"peers", s.Listen.Peers, true},
	} {
		path := joinPath("listen", l.key)
		if l.addr == "" && !l.required {
			continue
		}
		d.checkAddr(path, l.addr)
		if other := seen[l.addr]; other != "" && l.addr != "" {
			d.addError(path, "%s is also the address of %s; allowed is an address of its own", l.addr, other)
		}
		seen[l.addr] = path
	}
}

// checkAddr checks that addr is an IP address and port to which others can
// connect.
func (d *decoder) checkAddr(path, addr string) {
	if d.hasError(path) {
		return
	}
	ap, err := netip.ParseAddrPort(addr)
	if err != nil || ap.Port() == 0 || ap.Addr().IsUnspecified() || ap.Addr().IsMulticast() {
		d.addError(path, "is %q; allowed is the IP address and port that others connect to, for example 127.0.0.1:7001", addr)
	}
}

func (d *decoder) checkVoters(s *Settings) {
	const path = "control.voters"
	voters := s.Control.Voters
	if n := len(voters); !d.hasError(path) && (n == 0 || n > azurestair.MaxVoters) {
		d.addError(path, "has %d voters; allowed are 1 to %d", n, azurestair.MaxVoters)
	}
	ids, addrs := map[string]bool{}, map[string]bool{}
	for i, v := range voters {
		d.checkName(indexPath(path, i)+".id", string(v.ID))
		d.checkAddr(indexPath(path, i)+".peerAddr", v.PeerAddr)
		d.checkUnique(ids, indexPath(path, i)+".id", string(v.ID))
		d.checkUnique(addrs, indexPath(path, i)+".peerAddr", v.PeerAddr)
	}
	d.checkSelfListed(s)
}

// checkUnique reports a value that already occurs in an earlier list element.
func (d *decoder) checkUnique(seen map[string]bool, path, value string) {
	if value != "" && seen[value] {
		d.addError(path, "%q is listed twice; allowed is once", value)
	}
	seen[value] = true
}

// checkSelfListed checks that a control instance that is not a learner is one
// of the voters. Otherwise it would wait for votes from a group in which it is
// not a member.
func (d *decoder) checkSelfListed(s *Settings) {
	control := s.Instance.Has(RoleControl)
	if s.Control.Learner && !control {
		d.addError("control.learner", "is true without the role control; allowed is false")
	}
	if !control || s.Control.Learner || d.hasError("control.voters") || d.hasError("instance.id") || d.hasError("listen.peers") {
		return
	}
	i := slices.IndexFunc(s.Control.Voters, func(v Voter) bool { return v.ID == s.Instance.ID })
	if i < 0 {
		d.addError("control.voters", "lacks %s; allowed is a list with this instance, or learner = true", s.Instance.ID)
		return
	}
	if addr := s.Control.Voters[i].PeerAddr; addr != s.Listen.Peers {
		d.addError(indexPath("control.voters", i)+".peerAddr", "is %q; allowed is %s, the value of listen.peers", addr, s.Listen.Peers)
	}
}

func (d *decoder) checkTLS(s *Settings) {
	files := []struct{ key, value string }{
		{"certFile", s.TLS.CertFile},
		{"keyFile", s.TLS.KeyFile},
		{"caFile", s.TLS.CAFile},
	}
	set := 0
	for _, f := range files {
		if f.value != "" {
			set++
		}
	}
	if set > 0 {
		for _, f := range files {
			if f.value == "" && !d.hasError("tls."+f.key) {
				d.addError("tls."+f.key, "is missing; allowed are certFile, keyFile and caFile together, or none of them")
			}
		}
		return
	}
	ap, err := netip.ParseAddrPort(s.Listen.Peers)
	if err == nil && !ap.Addr().IsLoopback() && !d.hasError("tls") && !d.hasError("listen.peers") {
		d.addError("tls", "is missing; needed because listen.peers is not a loopback address")
	}
}

func (d *decoder) checkTokens(path string, tokens []Token) {
	if len(tokens) > maxTokens {
		d.addError(path, "has %d tokens; allowed are at most %d", len(tokens), maxTokens)
	}
	names, hashes := map[string]bool{}, map[TokenHash]bool{}
	for i, t := range tokens {
		d.checkName(indexPath(path, i)+".name", string(t.Name))
		d.checkUnique(names, indexPath(path, i)+".name", string(t.Name))
		key := indexPath(path, i) + ".sha256"
		switch {
		case d.hasError(key):
			continue
		case t.SHA256 == (TokenHash{}):
			d.addError(key, "is missing or zero; allowed are 64 lower-case hexadecimal digits, the SHA-256 hash of the token")
		case hashes[t.SHA256]:
			d.addError(key, "is the hash of an earlier token; allowed is one name for each token")
		}
		hashes[t.SHA256] = true
	}
}

func (d *decoder) checkLimits(l Limits) {
	for _, r := range limitRanges {
		path := joinPath("limits", r.key)
		if v := r.value(l); !d.hasError(path) && (v < r.min || v > r.max) {
			d.addError(path, "is %d; allowed are %d to %d", v, r.min, r.max)
		}
	}
}
