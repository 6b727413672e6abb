package azurestair

import "fmt"

// ClientLimits bounds what a client may send and how long it may take. Zero
// fields leave a limit to the settings of each instance.
type ClientLimits struct {
	// MaxHeaderBytes is the maximum size of a request head.
	MaxHeaderBytes Bytes `cbor:"maxHeaderBytes,omitempty" json:"maxHeaderBytes,omitempty" toml:"maxHeaderBytes"`
	// HeaderTimeoutMs is the time to send a request head.
	HeaderTimeoutMs Millis `cbor:"headerTimeoutMs,omitempty" json:"headerTimeoutMs,omitempty" toml:"headerTimeoutMs"`
	// IdleTimeoutMs is the time after which an idle connection is closed.
	IdleTimeoutMs Millis `cbor:"idleTimeoutMs,omitempty" json:"idleTimeoutMs,omitempty" toml:"idleTimeoutMs"`
}

// MaxClientHeaderBytes is the largest limit of a request head.
const MaxClientHeaderBytes Bytes = 1 << 20

// Validate checks the limits.
func (l ClientLimits) Validate() error {
	if l.MaxHeaderBytes < 0 || l.MaxHeaderBytes > MaxClientHeaderBytes {
		return fmt.Errorf("%w: maxHeaderBytes = %d; allowed 0 to %d", ErrInvalid, l.MaxHeaderBytes, MaxClientHeaderBytes)
	}
	if l.HeaderTimeoutMs < 0 || l.HeaderTimeoutMs > MaxTimeoutMs {
		return fmt.Errorf("%w: headerTimeoutMs = %d; allowed 0 to %d", ErrInvalid, l.HeaderTimeoutMs, MaxTimeoutMs)
	}
	if l.IdleTimeoutMs < 0 || l.IdleTimeoutMs > MaxTimeoutMs {
		return fmt.Errorf("%w: idleTimeoutMs = %d; allowed 0 to %d", ErrInvalid, l.IdleTimeoutMs, MaxTimeoutMs)
	}
	return nil
}
