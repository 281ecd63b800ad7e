package processortime

import (
	"time"

	"github.com/rotisserie/eris"
	"golang.org/x/sys/unix"
)

// OfProcess returns the processor time that this process has used since its start, user and system time together. It
// fails if the system call getrusage fails.
func OfProcess() (time.Duration, error) { return of(unix.RUSAGE_SELF) }

// OfThread returns the processor time used by the OS thread of the calling goroutine, which must be locked to it.
func OfThread() (time.Duration, error) { return of(unix.RUSAGE_THREAD) }

func of(who int) (time.Duration, error) {
	var usage unix.Rusage
	if err := unix.Getrusage(who, &usage); err != nil {
		return 0, eris.Wrap(err, "read processor time")
	}
	return time.Duration(usage.Utime.Nano() + usage.Stime.Nano()), nil
}
