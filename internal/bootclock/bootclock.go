// Package bootclock reads the kernel's clock of the time since boot (CLOCK_BOOTTIME). All processes
// of a machine share this clock, it cannot be set, and it advances while a process is stopped or
// the machine is suspended.
package bootclock

import (
	"os"
	"strings"

	"golang.org/x/sys/unix"
)

// bootIDFile holds a random ID that the kernel generates at each boot.
const bootIDFile = "/proc/sys/kernel/random/boot_id"

// BootID returns the ID of the current boot of the machine, or "unknown" if it cannot be read.
func BootID() string {
	b, err := os.ReadFile(bootIDFile)
	if err != nil {
		return "unknown"
	}
	return strings.TrimSpace(string(b))
}

// Now returns the time since boot in nanoseconds. It panics if the kernel has no such clock.
func Now() int64 {
	var ts unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &ts); err != nil {
		panic("bootclock: read CLOCK_BOOTTIME: " + err.Error())
	}
	return ts.Nano()
}
