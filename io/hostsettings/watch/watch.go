package watch

import (
	"context"
	"os"
	"time"
)

// interval is the time between two checks of the file, for changes without a signal.
const interval = time.Second

// File calls onChange after each change of a file's size or modification time and on each signal, until the context
// ends, and then returns nil.
func File(ctx context.Context, file string, signals <-chan os.Signal, onChange func()) error {
	ticker := time.NewTicker(interval)
	defer ticker.Stop()
	known := stamp(file)
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-signals:
			known = stamp(file)
			onChange()
		case <-ticker.C:
			if now := stamp(file); now != known {
				known = now
				onChange()
			}
		}
	}
}

// fileStamp holds the attributes by which a change of a file is detected.
type fileStamp struct {
	modTime time.Time
	size    int64
}

// stamp returns the attributes of a file, or the zero value while it does not exist, as may happen during its
// replacement.
func stamp(file string) fileStamp {
	info, err := os.Stat(file)
	if err != nil {
		return fileStamp{}
	}
	return fileStamp{modTime: info.ModTime(), size: info.Size()}
}
