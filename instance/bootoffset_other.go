//go:build !linux

package instance

import "time"

// bootOffset returns zero: the time for which the machine was suspended is not
// known.
func bootOffset() time.Duration { return 0 }
