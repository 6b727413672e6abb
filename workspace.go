package azurestair

import (
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"math"
	"strings"
)

// Limits of workspaces.
const (
	MaxWorkspaces    = 10_000
	MaxWorkspaceKeys = 64
	// MaxAPIKeyLen is the maximum length of an API key in bytes.
	MaxAPIKeyLen = 256
	// MaxWorkspaceRate is the maximum rate limit and burst of a workspace.
	MaxWorkspaceRate = 10_000_000
)

// WorkspaceName is the name of a workspace: a group of callers that share API
// keys and a rate limit.
type WorkspaceName string

// validateScope checks the name as the scope of an idempotency key, which is
// empty for requests without a workspace.
func (n WorkspaceName) validateScope() error {
	if n == "" {
		return nil
	}
	return CheckName("workspace", string(n))
}

// KeyDigest is the SHA-256 digest of an API key. Keys are stored and compared as
// digests only, so that snapshots and the log do not reveal them.
type KeyDigest [sha256.Size]byte

// digestPrefix marks a text as a digest rather than an API key.
const digestPrefix = "sha256:"

// KeyDigestOf returns the digest of an API key.
func KeyDigestOf(key string) KeyDigest { return sha256.Sum256([]byte(key)) }

// MarshalText returns the digest in hexadecimal digits.
func (d KeyDigest) MarshalText() ([]byte, error) {
	return []byte(digestPrefix + hex.EncodeToString(d[:])), nil
}

// UnmarshalText accepts a digest as MarshalText returns it, or an API key, of
// which it keeps the digest.
func (d *KeyDigest) UnmarshalText(text []byte) error {
	s := string(text)
	if digits, ok := strings.CutPrefix(s, digestPrefix); ok {
		b, err := hex.DecodeString(digits)
		if err != nil || len(b) != len(d) {
			return fmt.Errorf("%w: malformed digest of an API key", ErrInvalid)
		}
		copy(d[:], b)
		return nil
	}
	if s == "" || len(s) > MaxAPIKeyLen {
		return fmt.Errorf("%w: an API key has %d bytes; allowed 1 to %d", ErrInvalid, len(s), MaxAPIKeyLen)
	}
	*d = KeyDigestOf(s)
	return nil
}

// Workspace is a group of callers that share API keys and a rate limit.
type Workspace struct {
	Name WorkspaceName `cbor:"name" json:"name" toml:"name"`
	Keys []KeyDigest   `cbor:"keys,omitempty" json:"keys,omitempty" toml:"keys"`
	// Rank replaces the rank of the route; nil means that the route's applies.
	Rank *Rank `cbor:"rank,omitempty" json:"rank,omitempty" toml:"rank"`
	// HomeRegions restricts the requests in addition to the home regions of the
	// route; empty means all regions.
	HomeRegions []RegionName `cbor:"homeRegions,omitempty" json:"homeRegions,omitempty" toml:"homeRegions"`
	// RatePerSecond limits the requests of all entries together; zero means no
	// limit.
	RatePerSecond PerSecond `cbor:"ratePerSecond,omitempty" json:"ratePerSecond,omitempty" toml:"ratePerSecond"`
	// Burst is the number of requests that may exceed the rate at once.
	Burst float64 `cbor:"burst,omitempty" json:"burst,omitempty" toml:"burst"`
}

// IsLimited reports whether the workspace has a rate limit.
func (w Workspace) IsLimited() bool { return w.RatePerSecond > 0 }

// Validate checks the workspace itself. Config.Validate checks that no two
// workspaces share a key.
func (w Workspace) Validate() error {
	if err := CheckName("workspace name", string(w.Name)); err != nil {
		return err
	}
	if len(w.Keys) > MaxWorkspaceKeys {
		return fmt.Errorf("%w: workspace %s has %d keys; allowed at most %d", ErrInvalid, w.Name, len(w.Keys), MaxWorkspaceKeys)
	}
	if w.Rank != nil {
		if err := w.Rank.Validate(); err != nil {
			return fmt.Errorf("workspace %s: %w", w.Name, err)
		}
	}
	for _, h := range w.HomeRegions {
		if err := CheckName("home region", string(h)); err != nil {
			return err
		}
	}
	for _, v := range []float64{float64(w.RatePerSecond), w.Burst} {
		if math.IsNaN(v) || v < 0 || v > MaxWorkspaceRate {
			return fmt.Errorf("%w: workspace %s: ratePerSecond or burst = %v; allowed 0 to %d", ErrInvalid, w.Name, v, MaxWorkspaceRate)
		}
	}
	return nil
}

// validateWorkspaces checks the workspaces and that no name or key occurs twice.
func (c *Config) validateWorkspaces() error {
	if len(c.Workspaces) > MaxWorkspaces {
		return fmt.Errorf("%w: %d workspaces; allowed at most %d", ErrInvalid, len(c.Workspaces), MaxWorkspaces)
	}
	names := make(map[WorkspaceName]bool, len(c.Workspaces))
	holders := make(map[KeyDigest]WorkspaceName, len(c.Workspaces))
	for _, w := range c.Workspaces {
		if err := w.Validate(); err != nil {
			return err
		}
		if names[w.Name] {
			return fmt.Errorf("%w: workspace %s is listed twice", ErrInvalid, w.Name)
		}
		names[w.Name] = true
		for _, k := range w.Keys {
			if other, ok := holders[k]; ok && other != w.Name {
				return fmt.Errorf("%w: workspaces %s and %s share a key", ErrInvalid, other, w.Name)
			}
			holders[k] = w.Name
		}
	}
	return nil
}
