package sharerig

import (
	"time"

	"flamingoreach/core/divisionrow"
	"flamingoreach/core/leader"
	"flamingoreach/core/leaderfence"
)

// table simulates the platform's transactional table, which holds the leader rows and the division rows.
type table struct {
	rig    *Rig
	region string
	rows   map[string]tableRow
}

type tableRow struct {
	revision uint64
	leader   leader.Leader
	division divisionrow.DivisionRow
}

// condition is one check of a transaction: the row of the key must have the expected revision.
type condition struct {
	key      string
	expected uint64
}

// writeCallbacks holds the functions for the outcomes of a write; one of them runs at the node that sent it.
type writeCallbacks struct {
	written    func(revision uint64)
	conflicted func()
	unknown    func()
}

func (tab *table) down(nod *node) bool {
	return tab.rig.isolated(nod) || tab.rig.TableDown != nil && tab.rig.TableDown(nod.dataCentre)
}

func (tab *table) oneWayLatency(nod *node) time.Duration {
	return tableLatency + tab.rig.latency(nod, tab.region, false)
}

func (tab *table) read(nod *node, key string, found func(row tableRow), failed func()) {
	if tab.down(nod) {
		tab.rig.schedule(tab.oneWayLatency(nod), nod, failed)
		return
	}
	tab.rig.schedule(tab.oneWayLatency(nod), nil, func() {
		row := tab.rows[key]
		tab.rig.schedule(tab.oneWayLatency(nod), nod, func() { found(row) })
	})
}

// write applies a transaction when it arrives at the table. If the table is unreachable, half of the writes are lost
// and the others are applied late. If only the answer is lost, the write is applied late. In all these cases the node
// learns only that the outcome is unknown.
func (tab *table) write(nod *node, key string, row tableRow, conditions []condition, callbacks writeCallbacks) {
	down, lost := tab.down(nod), tab.rig.random.Float64() < tab.rig.LostAnswerRate
	if down && tab.rig.random.Float64() < 0.5 {
		tab.rig.schedule(tab.oneWayLatency(nod), nod, callbacks.unknown)
		return
	}
	if down || lost {
		tab.rig.schedule(tab.oneWayLatency(nod), nod, callbacks.unknown)
		late := time.Duration(tab.rig.random.Int64N(int64(maxExtraDelay)))
		tab.rig.schedule(tab.oneWayLatency(nod)+late, nil, func() { tab.apply(key, row, conditions) })
		return
	}
	tab.rig.schedule(tab.oneWayLatency(nod), nil, func() {
		revision, ok := tab.apply(key, row, conditions)
		tab.rig.schedule(tab.oneWayLatency(nod), nod, func() {
			if ok {
				callbacks.written(revision)
			} else {
				callbacks.conflicted()
			}
		})
	})
}

func (tab *table) apply(key string, row tableRow, conditions []condition) (uint64, bool) {
	for _, con := range conditions {
		if tab.rows[con.key].revision != con.expected {
			return 0, false
		}
	}
	row.revision = tab.rows[key].revision + 1
	row.division = row.division.Clone()
	tab.rows[key] = row
	if row.division.Allocations != nil {
		tab.rig.divisionWrites++
	}
	return row.revision, true
}

func leaderKey(dataCentre string) string { return "leader/" + dataCentre }

func divisionKey(account string) string { return "division/" + account }

func conditionsOf(account string, expected uint64, fences []leaderfence.Fence) []condition {
	conditions := []condition{{key: divisionKey(account), expected: expected}}
	for _, fen := range fences {
		conditions = append(conditions, condition{key: leaderKey(fen.DataCentre), expected: fen.Revision})
	}
	return conditions
}
