// Package bootclock reads the machine's clock since boot. All processes of a
// machine share it, nobody sets it, and it goes on while a process is stopped
// or the machine suspended.
package bootclock

import (
	"os"
	"strings"

	"golang.org/x/sys/unix"
)

// bootIDFile holds a random name that the kernel makes at each boot.
const bootIDFile = "/proc/sys/kernel/random/boot_id"

// BootID returns the name of the machine's current boot, or "unknown".
func BootID() string {
	b, err := os.ReadFile(bootIDFile)
	if err != nil {
		return "unknown"
	}
	return strings.TrimSpace(string(b))
}

// Now returns the time since boot in nanoseconds.
func Now() int64 {
	var ts unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &ts); err != nil {
		panic("bootclock: " + err.Error())
	}
	return ts.Nano()
}
