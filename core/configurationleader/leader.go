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

// The time between two reads of the table, while a patch is pending and otherwise, and the time after which a read is
// given up.
const (
	PendingInterval = time.Second
	IdleInterval    = 2 * time.Second
	ReadTimeout     = 5 * time.Second
	// RegionInterval is the time between two heartbeats to the leaders of the store's region.
	RegionInterval = time.Second
	// AbortAfter is how long a patch may stay pending before the leaders abort it: its coordinator has probably crashed.
	AbortAfter = 30 * time.Second
)

// Leader acts only while Epoch returns a number other than 0. Each new epoch starts without the leases and table reads
// of the earlier one.
type Leader struct {
	// Epoch returns the epoch of this node's leadership, or 0 if the node does not lead now, by the clock.
	Epoch func() uint64
	// ReadTable starts to read the table; the result goes to TableRead with the same number.
	ReadTable func(number uint64)
	// Join starts to write the data centre's row, on the condition that its revision is still dat.Revision.
	Join func(dat datacentre.DataCentre)
	// Abort starts to write the outcome "aborted" for a patch that has none.
	Abort func(vid versionid.VersionID)
	// SendRegionHeartbeat starts to send a heartbeat to the leaders of the store's region; their replies go to
	// HandleRegionReply.
	SendRegionHeartbeat func(hea heartbeat.Heartbeat)

	dataCentre datacentre.DataCentre
	view       *versionview.View

	epoch        uint64
	tableRead    bool
	readNumber   uint64
	readAt       time.Time
	readDone     bool
	nodeLeases   *contactlease.Granter
	regionLeases *contactlease.Granter

	pending      versionid.VersionID
	pendingSince time.Time

	regionSequence uint64
	regionSent     map[uint64]time.Time
	regionSentAt   time.Time
	regionContact  time.Time
}

// New returns the leader part of a node in a data centre, with that node's view.
func New(dat datacentre.DataCentre, vie *versionview.View) *Leader {
	return &Leader{dataCentre: dat, view: vie, regionSent: map[uint64]time.Time{}}
}

// leading reports whether the node leads; in a new epoch it drops the leases and table reads of the earlier one.
func (lea *Leader) leading() bool {
	epoch := lea.Epoch()
	if epoch != lea.epoch {
		lea.epoch = epoch
		lea.tableRead = false
		lea.readNumber++
		lea.readAt = time.Time{}
		lea.readDone = true
		lea.nodeLeases = contactlease.New()
		lea.regionLeases = contactlease.New()
	}
	return epoch != 0
}

// Tick does the work of a leader, if this node leads: it removes expired node leases, reads the table when due, aborts a
// patch that stays pending for too long, and, outside the store's region, sends heartbeats to it.
func (lea *Leader) Tick() {
	if !lea.leading() {
		return
	}
	lea.nodeLeases.RemoveExpired(fence.Lease)
	lea.readIfDue()
	lea.abortIfDue()
	if !lea.dataCentre.StoreRegion && time.Since(lea.regionSentAt) >= RegionInterval {
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
	lea.readNumber++
	lea.readAt = time.Now()
	lea.readDone = false
	lea.ReadTable(lea.readNumber)
}

// TableRead is called with the result of a read; the result of a superseded read or of an earlier epoch is dropped.
func (lea *Leader) TableRead(number uint64, sta configurationstate.State, err error) {
	if !lea.leading() || number != lea.readNumber {
		return
	}
	lea.readDone = true
	if err != nil {
		return
	}
	if listed, revision := lea.isListed(sta.DataCentres); !listed {
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

// isListed reports whether the row of this data centre is present and not declared out, and the row's revision.
func (lea *Leader) isListed(list []datacentre.DataCentre) (bool, uint64) {
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
		// If the patch is still pending after ReadTimeout, it is aborted again.
		lea.pendingSince = time.Now().Add(ReadTimeout - AbortAfter)
		lea.Abort(pending)
	}
}
