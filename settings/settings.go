package settings

import (
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"io"
	"os"
	"slices"

	"azurestair.example/azurestair"
)

// Settings are the settings of one process.
type Settings struct {
	Instance Instance `toml:"instance"`
	Listen   Listen   `toml:"listen"`
	Control  Control  `toml:"control"`
	TLS      TLS      `toml:"tls"`
	Tokens   Tokens   `toml:"tokens"`
	Limits   Limits   `toml:"limits"`
	Log      Log      `toml:"log"`
}

// Role is a function that an instance performs.
type Role string

const (
	// RoleEntry answers lookups and forwards requests.
	RoleEntry Role = "entry"
	// RoleControl replicates the Raft log.
	RoleControl Role = "control"
)

// Instance holds the identity, location and roles of the process.
type Instance struct {
	ID            azurestair.InstanceID        `toml:"id"`
	Region        azurestair.RegionName        `toml:"region"`
	FailureDomain azurestair.FailureDomainName `toml:"failureDomain"`
	// DataDir is the directory of the log and the identity of a control
	// instance.
	DataDir string `toml:"dataDir"`
	Roles   []Role `toml:"roles"`
}

// Has reports whether the instance has the role.
func (i Instance) Has(r Role) bool { return slices.Contains(i.Roles, r) }

// Listen holds the addresses that the process listens on and advertises.
type Listen struct {
	Callers   string `toml:"callers"`
	Upstreams string `toml:"upstreams"`
	Operators string `toml:"operators"`
	Peers     string `toml:"peers"`
}

// Control holds the initial voters of the log.
type Control struct {
	Voters []Voter `toml:"voters"`
	// Learner is true for a control instance that joins an existing log, at
	// first without a vote.
	Learner bool `toml:"learner"`
}

// Voter is a member of the log with a vote at the time the log is created.
type Voter struct {
	ID       azurestair.InstanceID `toml:"id"`
	PeerAddr string                `toml:"peerAddr"`
}

// TLS names the PEM files for connections between instances.
type TLS struct {
	CertFile string `toml:"certFile"`
	KeyFile  string `toml:"keyFile"`
	CAFile   string `toml:"caFile"`
}

// Enabled reports whether TLS is configured.
func (t TLS) Enabled() bool { return t.CertFile != "" }

// Tokens holds the accepted bearer tokens of operators and upstreams.
type Tokens struct {
	Operators []Token `toml:"operators"`
	Upstreams []Token `toml:"upstreams"`
}

// Token is an accepted bearer token. The name of an operator's token appears in
// the audit trail.
type Token struct {
	Name   azurestair.OperatorName `toml:"name"`
	SHA256 TokenHash               `toml:"sha256"`
}

// TokenHash is the SHA-256 hash of a bearer token.
type TokenHash [sha256.Size]byte

// UnmarshalText decodes 64 lower-case hexadecimal digits. Its errors do not
// contain the text, which may be a plain token entered by mistake.
func (h *TokenHash) UnmarshalText(text []byte) error {
	return decodeHex(h[:], text, "the SHA-256 hash of the token; plain tokens are not accepted")
}

func decodeHex(dst, text []byte, meaning string) error {
	for _, c := range text {
		if (c < '0' || c > '9') && (c < 'a' || c > 'f') {
			return fmt.Errorf("%w: allowed are %d lower-case hexadecimal digits, %s", azurestair.ErrInvalid, 2*len(dst), meaning)
		}
	}
	if len(text) != 2*len(dst) {
		return fmt.Errorf("%w: has %d digits; allowed are %d lower-case hexadecimal digits, %s",
			azurestair.ErrInvalid, len(text), 2*len(dst), meaning)
	}
	_, err := hex.Decode(dst, text)
	return err
}

// Limits bounds the resources that external parties can make the process use.
type Limits struct {
	MaxHeaderBytes      azurestair.Bytes  `toml:"maxHeaderBytes"`
	MaxConns            azurestair.Conns  `toml:"maxConns"`
	MaxRequestsInFlight int               `toml:"maxRequestsInFlight"`
	HeaderTimeoutMs     azurestair.Millis `toml:"headerTimeoutMs"`
	BodyTimeoutMs       azurestair.Millis `toml:"bodyTimeoutMs"`
	IdleTimeoutMs       azurestair.Millis `toml:"idleTimeoutMs"`
	ShutdownGraceMs     azurestair.Millis `toml:"shutdownGraceMs"`
	// MemoryBytes is the memory of the machine; zero means that it is not known.
	MemoryBytes azurestair.Bytes `toml:"memoryBytes"`
}

// Log holds the level and format of the log.
type Log struct {
	Level  string `toml:"level"`
	Format string `toml:"format"`
}

// LogFormat is the only log format: one line of key=value pairs per event.
const LogFormat = "logfmt"

// Default returns the defaults of the optional keys.
func Default() Settings {
	return Settings{
		Limits: Limits{
			MaxHeaderBytes:      32 << 10,
			MaxConns:            10_000,
			MaxRequestsInFlight: 10_000,
			HeaderTimeoutMs:     5_000,
			BodyTimeoutMs:       30_000,
			IdleTimeoutMs:       60_000,
			// Longer than the sum of the default lookup TTL and the usual
			// request duration.
			ShutdownGraceMs: 20_000,
		},
		Log: Log{Level: "info", Format: LogFormat},
	}
}

// Load reads a settings file.
func Load(path string) (Settings, error) {
	data, err := readFile(path)
	if err != nil {
		return Settings{}, err
	}
	return Parse(path, data)
}

// LoadFleet reads a fleet configuration file.
func LoadFleet(path string) (azurestair.Config, error) {
	data, err := readFile(path)
	if err != nil {
		return azurestair.Config{}, err
	}
	return ParseFleet(path, data)
}

// readFile reads at most one byte more than MaxFileBytes, so that decode
// rejects a larger file without reading all of it.
func readFile(path string) ([]byte, error) {
	f, err := os.Open(path)
	if err != nil {
		return nil, fmt.Errorf("read settings: %w", err)
	}
	defer func() { _ = f.Close() }()
	data, err := io.ReadAll(io.LimitReader(f, int64(MaxFileBytes)+1))
	if err != nil {
		return nil, fmt.Errorf("read settings %s: %w", path, err)
	}
	return data, nil
}

// Parse parses the content of a settings file; name is the file name used in
// errors.
func Parse(name string, data []byte) (Settings, error) {
	s := Default()
	d, err := decode(name, data, &s)
	if err != nil {
		return Settings{}, err
	}
	d.checkSettings(&s)
	if err := d.err(); err != nil {
		return Settings{}, err
	}
	return s, nil
}
