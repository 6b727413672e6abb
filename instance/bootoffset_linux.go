package instance

import (
	"time"

	"golang.org/x/sys/unix"
)

const (
	// exactReading is the duration of two readings up to which the offset counts
	// as exact. Both take well under 1 µs unless the thread is preempted.
	exactReading = 20 * time.Microsecond
	// maxReadings bounds the repetitions after a preemption.
	maxReadings = 4
)

// bootOffset returns CLOCK_BOOTTIME - CLOCK_MONOTONIC, which grows while the
// machine is suspended and is constant otherwise. A preemption between the two
// readings makes the result smaller. It returns zero if the clocks cannot be
// read.
func bootOffset() time.Duration {
	var offset time.Duration
	for range maxReadings {
		var boot, monotonic, after unix.Timespec
		if unix.ClockGettime(unix.CLOCK_BOOTTIME, &boot) != nil ||
			unix.ClockGettime(unix.CLOCK_MONOTONIC, &monotonic) != nil ||
			unix.ClockGettime(unix.CLOCK_BOOTTIME, &after) != nil {
			return 0
		}
		offset = max(offset, time.Duration(boot.Nano()-monotonic.Nano()))
		if after.Nano()-boot.Nano() <= exactReading.Nanoseconds() {
			break
		}
	}
	return offset
}
