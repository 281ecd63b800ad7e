package sharerig

import (
	"time"

	"flamingoreach/core/divisionrow"
	"flamingoreach/core/leader"
	"flamingoreach/core/leaderfence"
)

// table stands in for the platform's transactional table service.
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

// condition is one check of a transaction.
type condition struct {
	key      string
	expected uint64
}

// answer is called at the node that sent the request.
type answer struct {
	written    func(revision uint64)
	conflicted func()
	unknown    func()
}

func (tab *table) down(nod *node) bool {
	return tab.rig.cut(nod) || tab.rig.StoreDown != nil && tab.rig.StoreDown(nod.dataCentre)
}

func (tab *table) trip(nod *node) time.Duration {
	return storeLatency + tab.rig.latency(nod, tab.region, false)
}

func (tab *table) read(nod *node, key string, found func(row tableRow), failed func()) {
	if tab.down(nod) {
		tab.rig.schedule(tab.trip(nod), nod, failed)
		return
	}
	tab.rig.schedule(tab.trip(nod), nil, func() {
		row := tab.rows[key]
		tab.rig.schedule(tab.trip(nod), nod, func() { found(row) })
	})
}

// write applies a transaction on its arrival; a table that is down may or may not apply it.
func (tab *table) write(nod *node, key string, row tableRow, conditions []condition, ans answer) {
	down, lost := tab.down(nod), tab.rig.random.Float64() < tab.rig.LoseAnswers
	if down && tab.rig.random.Float64() < 0.5 {
		tab.rig.schedule(tab.trip(nod), nod, ans.unknown)
		return
	}
	if down || lost {
		tab.rig.schedule(tab.trip(nod), nod, ans.unknown)
		late := time.Duration(tab.rig.random.Int64N(int64(lateBy)))
		tab.rig.schedule(tab.trip(nod)+late, nil, func() { tab.apply(key, row, conditions) })
		return
	}
	tab.rig.schedule(tab.trip(nod), nil, func() {
		revision, ok := tab.apply(key, row, conditions)
		tab.rig.schedule(tab.trip(nod), nod, func() {
			if ok {
				ans.written(revision)
			} else {
				ans.conflicted()
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
		tab.rig.moves++
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
