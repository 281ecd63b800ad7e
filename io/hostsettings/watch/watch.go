package watch

import (
	"context"
	"os"
	"time"
)

// interval is how often the file is looked at where no signal tells of a change.
const interval = time.Second

// File calls changed after each change of a file, and at each signal, until the context ends.
func File(ctx context.Context, file string, signals <-chan os.Signal, changed func()) error {
	ticker := time.NewTicker(interval)
	defer ticker.Stop()
	known := stamp(file)
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-signals:
			known = stamp(file)
			changed()
		case <-ticker.C:
			if now := stamp(file); now != known {
				known = now
				changed()
			}
		}
	}
}

// fileStamp tells two contents of a file apart.
type fileStamp struct {
	changed time.Time
	size    int64
}

// stamp is zero while there is no file, as in the moment of its replacement.
func stamp(file string) fileStamp {
	info, err := os.Stat(file)
	if err != nil {
		return fileStamp{}
	}
	return fileStamp{changed: info.ModTime(), size: info.Size()}
}
