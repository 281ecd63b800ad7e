package capacity

import (
	"fmt"
	"runtime"
	"time"

	"flamingoreach/core/directory"
	"flamingoreach/core/route"
	"flamingoreach/core/versionid"
	"flamingoreach/io/configurationbody"
	"flamingoreach/io/configurationfile"
)

// directoryCopies is the number of directories that are built for one measurement, so that the growth of the heap
// shows the memory of one; the result is their average.
const directoryCopies = 20

// MeasureDirectory returns the memory of a configuration with its directory (the lookup tables of routes, accounts and
// keys) in bytes, the time to decode and build one, and the length of the configuration's text in bytes, uncompressed
// and compressed. It fails if the configuration cannot be encoded or decoded.
func MeasureDirectory(routes, accounts int) (state uint64, built time.Duration, text, compressed int, err error) {
	cfg := buildConfiguration(accounts, 1)
	cfg.Routes = nil
	for number := range routes {
		cfg.Routes = append(cfg.Routes, route.Route{
			Name: fmt.Sprintf("route-%03d", number), Service: fmt.Sprintf("service-%03d", number),
			PathPrefix: fmt.Sprintf("/service-%03d/v1", number), Timeout: time.Second,
		})
	}
	encoded, err := configurationfile.Encode(cfg)
	if err != nil {
		return 0, 0, 0, 0, err
	}
	copies := make([]*directory.Directory, 0, directoryCopies)
	before, began := liveBytes(), time.Now()
	for range directoryCopies {
		decoded, err := configurationfile.Decode("configuration", encoded)
		if err != nil {
			return 0, 0, 0, 0, err
		}
		copies = append(copies, directory.New(decoded, nil))
	}
	built = time.Since(began) / directoryCopies
	state = (liveBytes() - before) / directoryCopies
	runtime.KeepAlive(copies)
	var bod configurationbody.Cache
	short, err := bod.Compressed(versionid.VersionID{}, func() ([]byte, error) { return encoded, nil })
	return state, built, len(encoded), len(short), err
}

func liveBytes() uint64 {
	// Memory that finalizers release is freed only by the second collection.
	runtime.GC()
	runtime.GC()
	var memory runtime.MemStats
	runtime.ReadMemStats(&memory)
	return memory.HeapAlloc
}
