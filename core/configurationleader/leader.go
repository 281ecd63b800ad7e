package configurationleader

import (
	"time"

	"flamingoreach/core/configurationstate"
	"flamingoreach/core/contactlease"
	"flamingoreach/core/datacentre"
	"flamingoreach/core/fence"
	"flamingoreach/core/heartbeat"
	"flamingoreach/core/patchoutcome"
	"flamingoreach/core/versionid"
	"flamingoreach/core/versionview"
)

// The times between two table readings, while a patch is pending and otherwise, and until a reading is given up.
const (
	PendingInterval = time.Second
	IdleInterval    = 2 * time.Second
	ReadTimeout     = 5 * time.Second
	// RegionInterval is the time between two heartbeats to the leaders of the store's region.
	RegionInterval = time.Second
	// AbortAfter is how long a patch may be pending before leaders abort it for its vanished coordinator.
	AbortAfter = 30 * time.Second
)

// Leader acts only while Term gives a number; a new number is a new leadership, which starts from nothing.
type Leader struct {
	// Term returns the number of the leadership that this node holds now, checked against the clock, or 0.
	Term func() uint64
	// ReadTable starts a reading of the table; the result comes by TableRead with the same number.
	ReadTable func(reading uint64)
	// Join starts to write the data centre's row, on the condition that it still has the revision given there.
	Join func(dat datacentre.DataCentre)
	// Abort starts to write the outcome "aborted" for a patch that has none.
	Abort func(vid versionid.VersionID)
	// SendRegionHeartbeat starts to send a heartbeat to the leaders of the store's region, by RegionReply.
	SendRegionHeartbeat func(hb heartbeat.Heartbeat)

	dataCentre datacentre.DataCentre
	view       *versionview.View

	term      uint64
	tableRead bool
	reading   uint64
	readAt    time.Time
	readDone  bool
	nodes     *contactlease.Granter
	regions   *contactlease.Granter

	pending      versionid.VersionID
	pendingSince time.Time

	regionSequence uint64
	regionSent     map[uint64]time.Time
	regionAt       time.Time
	regionContact  time.Time
}

// New returns a leader's part for a node of a data centre, with that node's view.
func New(dat datacentre.DataCentre, vie *versionview.View) *Leader {
	return &Leader{dataCentre: dat, view: vie, regionSent: map[uint64]time.Time{}}
}

// leading reports whether the node leads, and starts afresh in a new term.
func (lea *Leader) leading() bool {
	term := lea.Term()
	if term != lea.term {
		lea.term = term
		lea.tableRead = false
		lea.reading++
		lea.readAt = time.Time{}
		lea.readDone = true
		lea.nodes = contactlease.New()
		lea.regions = contactlease.New()
	}
	return term != 0
}

// Tick reads the table, sends region heartbeats and aborts patches whose coordinator vanished.
func (lea *Leader) Tick() {
	if !lea.leading() {
		return
	}
	lea.nodes.RemoveExpired(fence.Lease)
	lea.readIfDue()
	lea.abortIfDue()
	if !lea.dataCentre.StoreRegion && time.Since(lea.regionAt) >= RegionInterval {
		lea.sendRegion()
	}
}

func (lea *Leader) readIfDue() {
	interval := IdleInterval
	if !lea.tableRead || lea.view.KnownPrepared().Known() {
		interval = PendingInterval
	}
	since := time.Since(lea.readAt)
	if since < interval || (!lea.readDone && since < ReadTimeout) {
		return
	}
	lea.reading++
	lea.readAt = time.Now()
	lea.readDone = false
	lea.ReadTable(lea.reading)
}

// TableRead takes the result of a reading; a reading of an earlier term is dropped.
func (lea *Leader) TableRead(reading uint64, sta configurationstate.State, err error) {
	if !lea.leading() || reading != lea.reading {
		return
	}
	lea.readDone = true
	if err != nil {
		return
	}
	if listed, revision := lea.listed(sta.DataCentres); !listed {
		lea.tableRead = false
		dat := lea.dataCentre
		dat.Revision = revision
		lea.Join(dat)
		return
	}
	pending := versionid.VersionID{}
	if sta.Pending() {
		pending = sta.Prepared
	}
	lea.view.Learn(sta.Current, pending)
	if sta.PreparedOutcome == patchoutcome.Aborted {
		lea.view.LearnAborted(sta.Prepared)
	}
	lea.tableRead = true
}

// listed reports whether the own row says that the data centre takes part, and the row's revision.
func (lea *Leader) listed(list []datacentre.DataCentre) (bool, uint64) {
	for _, dat := range list {
		if dat.Name == lea.dataCentre.Name {
			return !dat.Out, dat.Revision
		}
	}
	return false, 0
}

func (lea *Leader) abortIfDue() {
	pending := lea.view.KnownPrepared()
	if pending != lea.pending {
		lea.pending = pending
		lea.pendingSince = time.Now()
	}
	if pending.Known() && time.Since(lea.pendingSince) >= AbortAfter {
		lea.pendingSince = time.Now().Add(ReadTimeout - AbortAfter)
		lea.Abort(pending)
	}
}
