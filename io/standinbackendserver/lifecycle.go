package standinbackendserver

import (
	"time"

	"flamingoreach/charts"
	"flamingoreach/core/announcement"
	"flamingoreach/core/machine"
)

const (
	stateWarming  = "warming"
	stateServing  = "serving"
	stateDraining = "draining"

	// The values of the field state in announcements to the node.
	announcedServing  = "serving"
	announcedDraining = "draining"
)

var lifecycleChart = machine.MustNew(charts.MustLoad("standinBackendServer"),
	[]string{"warmed", "drain", "emptied"},
	map[string]func(*lifecycle) bool{},
	map[string]func(*lifecycle){"announceDraining": (*lifecycle).announceDraining},
)

// statusReport is the state and the load at one moment, as the endpoints /health and /load return them.
type statusReport struct {
	state    string
	load     float64
	measured time.Time
}

// lifecycle holds the chart state and the reports; only the control thread accesses it after Start.
type lifecycle struct {
	server        *BackendServer
	state         string
	history       []statusReport
	lastAnnounced time.Time
}

// fire passes an event to the chart and publishes the resulting state.
func (lcy *lifecycle) fire(event string) {
	lcy.state = lifecycleChart.Fire(lcy, lcy.state, event)
	lcy.publishReport()
}

func (lcy *lifecycle) tick() {
	if time.Since(lcy.server.started) >= lcy.server.Behaviour().ColdTime {
		lcy.fire("warmed")
	}
	lcy.publishReport()
	announcing := lcy.state == stateWarming || lcy.state == stateServing
	if announcing && time.Since(lcy.lastAnnounced) >= announceInterval {
		lcy.lastAnnounced = time.Now()
		lcy.queueAnnouncement(announcedServing)
	}
}

// publishReport records and publishes the current report, and drops reports that are older than ReportLag requires.
func (lcy *lifecycle) publishReport() {
	now := statusReport{state: lcy.state, load: lcy.server.load(), measured: time.Now()}
	lcy.history = append(lcy.history, now)
	oldest := now.measured.Add(-lcy.server.Behaviour().ReportLag)
	for len(lcy.history) > 1 && !lcy.history[1].measured.After(oldest) {
		lcy.history = lcy.history[1:]
	}
	lcy.server.delayedReport.Store(&lcy.history[0])
	lcy.server.currentReport.Store(&now)
}

func (lcy *lifecycle) announceDraining() { lcy.queueAnnouncement(announcedDraining) }

// queueAnnouncement passes an announcement to the goroutine that sends it; it replaces one that is still queued.
func (lcy *lifecycle) queueAnnouncement(state string) {
	bas := lcy.server
	select {
	case <-bas.announcements:
	default:
	}
	bas.announcements <- announcement.Announcement{
		Address: bas.Address(), Service: bas.service, Slots: cap(bas.slots), State: state, Started: bas.started,
	}
}
