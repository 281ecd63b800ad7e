package metricset

import (
	"fmt"
	"net/http"
	"sync"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"flamingoreach/core/reason"
)

// MetricSet holds the metrics of one node, so that one process can run several nodes.
type MetricSet struct {
	set      *metrics.Set
	counters sync.Map
	attempts *metrics.Histogram
	// others holds the sets that Include added, such as those of the platform's clients.
	others []*metrics.Set
}

// label identifies a counter, so that its name need not be formatted for each call.
type label struct {
	family string
	layer  string
	reason reason.Reason
}

func (lab label) String() string {
	return fmt.Sprintf(`flamingoreach_%s_total{layer=%q,reason=%q}`, lab.family, lab.layer, string(lab.reason))
}

// New returns an empty set.
func New() *MetricSet {
	set := metrics.NewSet()
	return &MetricSet{set: set, attempts: set.NewHistogram("flamingoreach_attempt_duration_seconds")}
}

func (met *MetricSet) count(lab label) {
	counter, known := met.counters.Load(lab)
	if !known {
		counter, _ = met.counters.LoadOrStore(lab, met.set.GetOrCreateCounter(lab.String()))
	}
	counter.(*metrics.Counter).Inc()
}

// CountRefusal counts a refusal at a layer by its reason.
func (met *MetricSet) CountRefusal(layer string, why reason.Reason) {
	met.count(label{"refusals", layer, why})
}

// CountRetry counts a retry by the reason of the refusal that it follows.
func (met *MetricSet) CountRetry(why reason.Reason) { met.count(label{"retries", "ingress", why}) }

// CountDeniedRetry counts a retry that was not made, by the reason why it was not.
func (met *MetricSet) CountDeniedRetry(why reason.Reason) {
	met.count(label{"denied_retries", "ingress", why})
}

// CountCallToEvacuated counts a call that arrived at the gate of an evacuated data centre, by the data centre of the node
// that sent it.
func (met *MetricSet) CountCallToEvacuated(callerDataCentre string) {
	met.set.GetOrCreateCounter(fmt.Sprintf(`flamingoreach_calls_to_evacuated_total{callerDataCentre=%q}`, callerDataCentre)).Inc()
}

// CountAnswer counts a complete answer at a layer.
func (met *MetricSet) CountAnswer(layer string) { met.count(label{"answers", layer, reason.None}) }

// ObserveAttempt records the duration of one attempt.
func (met *MetricSet) ObserveAttempt(elapsed time.Duration) { met.attempts.Update(elapsed.Seconds()) }

// Gauge registers a gauge whose value is read when the metrics are written.
func (met *MetricSet) Gauge(name string, read func() float64) {
	met.set.GetOrCreateGauge("flamingoreach_"+name, read)
}

// Include adds another set to the metrics that ServeHTTP writes; it must be called before ServeHTTP.
func (met *MetricSet) Include(set *metrics.Set) { met.others = append(met.others, set) }

// Counts returns the counters of refusals, retries and answers by metric name.
func (met *MetricSet) Counts() map[string]uint64 {
	counts := map[string]uint64{}
	met.counters.Range(func(lab, counter any) bool {
		counts[lab.(label).String()] = counter.(*metrics.Counter).Get()
		return true
	})
	return counts
}

// ServeHTTP writes all metrics, those of the process included, in the text format of Prometheus.
func (met *MetricSet) ServeHTTP(wri http.ResponseWriter, _ *http.Request) {
	wri.Header().Set("Content-Type", "text/plain; version=0.0.4")
	met.set.WritePrometheus(wri)
	for _, set := range met.others {
		set.WritePrometheus(wri)
	}
	metrics.WriteProcessMetrics(wri)
}
