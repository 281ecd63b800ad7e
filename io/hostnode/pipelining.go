package hostnode

import (
	"net/http"

	"flamingoreach/io/decisionlog"
	"flamingoreach/io/pipeline"
)

const (
	// pipelineRoomDivisor divides the memory of the process to get the bound of all answers that wait for their turn on the
	// connections of callers.
	pipelineRoomDivisor = 16
	// pipelineLinesPerSecond is the most log lines per second about cancelled pipelined requests.
	pipelineLinesPerSecond = 2
)

// newPipeline returns the pipeline of the listener for callers, or nil if no request may run ahead.
func (nod *Node) newPipeline(mayRunAhead func(req *http.Request) bool) *pipeline.Pipeline {
	if mayRunAhead == nil {
		return nil
	}
	answers := nod.room.Part(nod.settings.MemoryBytes / pipelineRoomDivisor)
	lines := decisionlog.New(nod.log, pipelineLinesPerSecond)
	pip := &pipeline.Pipeline{
		MayRunAhead: mayRunAhead, Room: answers,
		OnCancel: func(requests int, cause string) {
			lines.Write("pipelined requests cancelled", "requests", requests, "cause", cause)
		},
	}
	nod.metrics.Gauge("pipeline_requests_ahead", func() float64 { return float64(pip.Started()) })
	nod.metrics.Gauge("pipeline_requests_cancelled", func() float64 { return float64(pip.Cancelled()) })
	nod.metrics.Gauge("pipeline_answers_waited", func() float64 { return float64(pip.Waited()) })
	nod.metrics.Gauge("pipeline_answer_bytes", func() float64 { return float64(answers.Used()) })
	return pip
}

// IsIdempotent reports whether requests with a host name, method and path belong to a route whose requests may run twice.
func (nod *Node) IsIdempotent(host, method, path string) bool {
	vie := nod.view.Load()
	if vie.Configuration == nil {
		return false
	}
	rou, found := vie.Directory.HostRoute(host, method, path)
	return found && rou.Idempotent
}
