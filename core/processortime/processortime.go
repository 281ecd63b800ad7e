package processortime

import (
	"time"

	"github.com/rotisserie/eris"
	"golang.org/x/sys/unix"
)

// OfProcess returns what this process has used so far, the kernel's work for it included; it fails if the system does
// not tell.
func OfProcess() (time.Duration, error) { return of(unix.RUSAGE_SELF) }

// OfThread is OfProcess for the thread of the calling goroutine, which must be locked to it.
func OfThread() (time.Duration, error) { return of(unix.RUSAGE_THREAD) }

func of(who int) (time.Duration, error) {
	var usage unix.Rusage
	if err := unix.Getrusage(who, &usage); err != nil {
		return 0, eris.Wrap(err, "read processor time")
	}
	return time.Duration(usage.Utime.Nano() + usage.Stime.Nano()), nil
}
