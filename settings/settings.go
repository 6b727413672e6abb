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

// Role names a part that an instance plays.
type Role string

const (
	// RoleEntry answers lookups and forwards requests.
	RoleEntry Role = "entry"
	// RoleControl replicates the log.
	RoleControl Role = "control"
)

// Instance identifies the process and its place.
type Instance struct {
	ID            azurestair.InstanceID        `toml:"id"`
	Region        azurestair.RegionName        `toml:"region"`
	FailureDomain azurestair.FailureDomainName `toml:"failureDomain"`
	// DataDir holds the log and the identity of a control instance.
	DataDir string `toml:"dataDir"`
	Roles   []Role `toml:"roles"`
}

// Has reports whether the instance plays the role.
func (i Instance) Has(r Role) bool { return slices.Contains(i.Roles, r) }

// Listen gives the addresses that the process listens on and tells others to use.
type Listen struct {
	Callers   string `toml:"callers"`
	Upstreams string `toml:"upstreams"`
	Operators string `toml:"operators"`
	Peers     string `toml:"peers"`
}

// Control lists the first voters of the log.
type Control struct {
	Voters []Voter `toml:"voters"`
	// Learner is true for a control instance that joins an existing log.
	Learner bool `toml:"learner"`
}

// Voter is an instance that votes in the log when the log is first created.
type Voter struct {
	ID       azurestair.InstanceID `toml:"id"`
	PeerAddr string                `toml:"peerAddr"`
}

// TLS names the PEM files for connections between the system's own processes.
type TLS struct {
	CertFile string `toml:"certFile"`
	KeyFile  string `toml:"keyFile"`
	CAFile   string `toml:"caFile"`
}

// Enabled reports whether the files are set.
func (t TLS) Enabled() bool { return t.CertFile != "" }

// Tokens lists the hashes of the accepted bearer tokens.
type Tokens struct {
	Operators []Token `toml:"operators"`
	Upstreams []Token `toml:"upstreams"`
}

// Token is an accepted bearer token. For operators the name appears in the audit trail.
type Token struct {
	Name   azurestair.OperatorName `toml:"name"`
	SHA256 TokenHash               `toml:"sha256"`
}

// TokenHash is the SHA-256 hash of a bearer token.
type TokenHash [sha256.Size]byte

// UnmarshalText reads 64 lower-case hexadecimal digits. The error does not
// repeat the text, which may be a plain token written by mistake.
func (h *TokenHash) UnmarshalText(text []byte) error {
	return readHex(h[:], text, "the SHA-256 hash of the token; plain tokens are not accepted")
}

func readHex(dst, text []byte, meaning string) error {
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

// Limits bounds what external parties can make the process hold.
type Limits struct {
	MaxHeaderBytes      azurestair.Bytes  `toml:"maxHeaderBytes"`
	MaxConns            azurestair.Conns  `toml:"maxConns"`
	MaxRequestsInFlight int               `toml:"maxRequestsInFlight"`
	HeaderTimeoutMs     azurestair.Millis `toml:"headerTimeoutMs"`
	BodyTimeoutMs       azurestair.Millis `toml:"bodyTimeoutMs"`
	IdleTimeoutMs       azurestair.Millis `toml:"idleTimeoutMs"`
	ShutdownGraceMs     azurestair.Millis `toml:"shutdownGraceMs"`
}

// Log selects what the process logs.
type Log struct {
	Level  string `toml:"level"`
	Format string `toml:"format"`
}

// LogFormat is the only log format: one line of key=value pairs for each event.
const LogFormat = "logfmt"

// Default returns the values of the keys that a file may leave out.
func Default() Settings {
	return Settings{
		Limits: Limits{
			MaxHeaderBytes:      32 << 10,
			MaxConns:            10_000,
			MaxRequestsInFlight: 10_000,
			HeaderTimeoutMs:     5_000,
			BodyTimeoutMs:       30_000,
			IdleTimeoutMs:       60_000,
			// Longer than the default lookup time to live and the usual request together.
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

// readFile reads up to one byte more than the limit, so that the parser refuses a longer file.
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

// Parse reads settings from the content of a file; name appears in errors.
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
