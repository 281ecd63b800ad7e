package decisionlog

import (
	"sync"
	"time"

	"github.com/charmbracelet/log"
)

// burstTime sets the burst: the lines of this time at the limited rate may be written at once.
const burstTime = 2 * time.Second

// Log writes lines of one kind, limited by a token bucket; it is safe for concurrent use.
type Log struct {
	logger *log.Logger
	rate   float64

	mut      sync.Mutex
	tokens   float64
	refilled time.Time
	omitted  uint64
}

// New returns a log that writes up to a number of lines a second.
func New(logger *log.Logger, perSecond float64) *Log {
	return &Log{logger: logger, rate: perSecond, tokens: perSecond * burstTime.Seconds(), refilled: time.Now()}
}

// Write writes a line with its fields, or omits it if the rate is exceeded; the next line that is written states how
// many were omitted before it.
func (dec *Log) Write(message string, fields ...any) {
	omitted, allowed := dec.take()
	if !allowed {
		return
	}
	if omitted > 0 {
		fields = append(fields, "omitted", omitted)
	}
	dec.logger.Info(message, fields...)
}

// take reports whether a line may be written, and how many were omitted before it.
func (dec *Log) take() (omitted uint64, allowed bool) {
	dec.mut.Lock()
	defer dec.mut.Unlock()
	now := time.Now()
	dec.tokens = min(dec.tokens+dec.rate*now.Sub(dec.refilled).Seconds(), dec.rate*burstTime.Seconds())
	dec.refilled = now
	if dec.tokens < 1 {
		dec.omitted++
		return 0, false
	}
	dec.tokens--
	omitted, dec.omitted = dec.omitted, 0
	return omitted, true
}
