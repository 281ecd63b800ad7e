package patch_test

import (
	"fmt"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"pgregory.net/rapid"

	"flamingoreach/core/clientaccount"
	"flamingoreach/core/configuration"
	"flamingoreach/core/keyhash"
	"flamingoreach/core/patchresult"
	"flamingoreach/core/reason"
)

const cutHold = 12 * time.Second

// trial is one run of a scenario, with the results of its patches and the keys that must and must not be valid.
type trial struct {
	fle     *fleet
	results map[string]patchresult.Result
	// A withdrawn key must not be accepted once the operator has the result; an added key not before the table says
	// that its patch is accepted.
	withdrawn map[keyhash.Hash]string
	added     map[keyhash.Hash]string
	versions  map[*process]uint64
	accepted  int
}

// plan is one round: when and where two operators submit, and the faults meanwhile.
type plan struct {
	delay      time.Duration
	submitters [2]int
	faults     []fault
}

type fault struct {
	Kind   string
	Target int
	Start  time.Duration
	Length time.Duration
}

func (tri *trial) fail(format string, args ...any) {
	tri.fle.violations = append(tri.fle.violations, fmt.Sprintf(format, args...))
}

// key returns the hash of the only key in a version's configuration; the next version withdraws it.
func key(version uint64, patchID string) keyhash.Hash {
	return keyhash.Of(fmt.Sprintf("%d-%s", version, patchID))
}

func body(version uint64, patchID string) configuration.Configuration {
	cfg := configuration.Default()
	cfg.CutHold = cutHold
	cfg.Accounts = []clientaccount.ClientAccount{{Name: "bank", Rate: 1, Burst: 1, Weight: 1, Keys: []keyhash.Hash{key(version, patchID)}}}
	return cfg
}

// recordResult records a result and checks that all final results of one patch agree, whichever node returned them.
func (tri *trial) recordResult(res patchresult.Result, oldKey keyhash.Hash) {
	last, known := tri.results[res.PatchID]
	if known && last.Kind != patchresult.Unknown && (last.Kind == patchresult.Accepted) != (res.Kind == patchresult.Accepted) {
		tri.fail("patch %s had the result %s, then %s", res.PatchID, last.Kind, res.Kind)
	}
	tri.results[res.PatchID] = res
	if res.Kind == patchresult.Accepted {
		tri.withdrawn[oldKey] = res.PatchID
	}
}

func (tri *trial) submit(pro *process, patchID string, base uint64, oldKey keyhash.Hash) {
	tri.added[key(base+1, patchID)] = patchID
	pro.submit(patchID, base, body(base+1, patchID), func(res patchresult.Result) { tri.recordResult(res, oldKey) })
}

// checkCall makes a call at a node; like traffic, it loads the directory before it checks the fence.
func (tri *trial) checkCall(pro *process) {
	if pro.dead || pro.frozen {
		return
	}
	dir := pro.dir
	if version := dir.Version(); version < tri.versions[pro] {
		tri.fail("%s went from version %d to %d", pro.name, tri.versions[pro], version)
	} else {
		tri.versions[pro] = version
	}
	if pro.fence.Check() != reason.None {
		return
	}
	for has, patchID := range tri.withdrawn {
		if _, valid := dir.Account(has); valid {
			tri.fail("%s accepts a key at version %d after %s had withdrawn it", pro.name, dir.Version(), patchID)
		}
	}
	for has, patchID := range tri.added {
		if _, valid := dir.Account(has); valid && !tri.isAcceptedInTable(patchID) {
			tri.fail("%s accepts a key of %s, which is not accepted", pro.name, patchID)
		}
	}
}

func (tri *trial) isAcceptedInTable(patchID string) bool {
	return strings.Contains(string(tri.fle.rows["patch/"+patchID].Value), "accepted")
}

func (tri *trial) setFault(fau fault, on bool) {
	fle := tri.fle
	pro := fle.nodes[fau.Target%len(fle.nodes)]
	switch fau.Kind {
	case "store":
		fle.storeDown = on
	case "partition":
		fle.partitionedCentres[pro.centre.Name] = on
	case "partitionB":
		fle.partitionedCentres["b1"] = on
	case "lossy":
		fle.lossy = on
	case "isolate":
		pro.partitioned = on
	case "freeze":
		tri.freeze(pro, on)
	case "restart":
		tri.restart(pro, on)
	default:
		tri.setLeaderFault(fau.Kind, pro.centre.Name, on)
	}
}

func (tri *trial) setLeaderFault(kind, centre string, on bool) {
	lea := tri.fle.leaders[centre]
	switch {
	case lea.process == nil:
	case kind == "freezeLeader":
		tri.freeze(lea.process, on)
	case kind == "killLeader":
		tri.restart(lea.process, on)
	case on && !tri.fle.storeDown && !tri.fle.partitionedCentres[centre]:
		tri.fle.elect(centre, lea)
	}
}

func (tri *trial) restart(pro *process, on bool) {
	if on && !pro.dead {
		pro.dead = true
		tri.fle.start(pro.name+"x", pro.centre)
	}
}

// freeze stops a process, or lets every stopped process continue and make a call before it handles its backlog.
func (tri *trial) freeze(target *process, on bool) {
	if on {
		target.frozen = true
		return
	}
	for _, pro := range tri.fle.nodes {
		if !pro.frozen {
			continue
		}
		pro.frozen = false
		tri.checkCall(pro)
		backlog := pro.backlog
		pro.backlog = nil
		for _, apply := range backlog {
			pro.do(apply)
		}
	}
}

func (tri *trial) locked(apply func()) {
	tri.fle.mu.Lock()
	defer tri.fle.mu.Unlock()
	apply()
}

// watch makes and checks calls at all nodes for the given time.
func (tri *trial) watch(length time.Duration) {
	for end := time.Now().Add(length); time.Now().Before(end); {
		time.Sleep(20*time.Millisecond + 1)
		tri.locked(func() {
			for _, pro := range tri.fle.nodes {
				tri.checkCall(pro)
			}
		})
	}
}

func (tri *trial) runningProcess(index int) *process {
	for {
		pro := tri.fle.nodes[index%len(tri.fle.nodes)]
		if !pro.dead && !pro.frozen && !pro.partitioned {
			return pro
		}
		index++
	}
}

// schedule sets timers that switch the faults on and off, and returns the time at which the last one ends.
func (tri *trial) schedule(faults []fault) time.Duration {
	last := time.Duration(0)
	for _, fau := range faults {
		time.AfterFunc(fau.Start, func() { tri.locked(func() { tri.setFault(fau, true) }) })
		time.AfterFunc(fau.Start+fau.Length, func() { tri.locked(func() { tri.setFault(fau, false) }) })
		last = max(last, fau.Start+fau.Length)
	}
	return last
}

// round has two operators submit patches to the same base version, submits both again at the end for a final result,
// and returns the accepted version and its key.
func (tri *trial) round(number int, base uint64, oldKey keyhash.Hash, pla plan) (uint64, keyhash.Hash) {
	last := tri.schedule(pla.faults)
	tri.watch(pla.delay)
	ids := []string{fmt.Sprintf("p%d", number), fmt.Sprintf("q%d", number)}
	var submitters []*process
	for index, patchID := range ids {
		tri.locked(func() {
			submitters = append(submitters, tri.runningProcess(pla.submitters[index]))
			tri.submit(submitters[index], patchID, base, oldKey)
		})
	}
	tri.watch(21 * time.Second)
	for index, patchID := range ids {
		tri.locked(func() {
			if _, answered := tri.results[patchID]; !answered && !submitters[index].dead && len(pla.faults) == 0 {
				tri.fail("%s got no result", patchID)
			}
		})
	}
	tri.watch(max(0, last-pla.delay-21*time.Second) + 5*time.Second)
	for index, patchID := range ids {
		tri.locked(func() { tri.submit(tri.runningProcess(pla.submitters[index]+1), patchID, base, oldKey) })
	}
	tri.watch(25 * time.Second)
	tri.fle.mu.Lock()
	defer tri.fle.mu.Unlock()
	return tri.checkResults(ids, base, oldKey, len(pla.faults) == 0)
}

// checkResults checks that the results are final, agree with the table and name at most one accepted patch.
func (tri *trial) checkResults(ids []string, base uint64, oldKey keyhash.Hash, faultless bool) (uint64, keyhash.Hash) {
	accepted := ""
	for _, patchID := range ids {
		switch res := tri.results[patchID]; {
		case res.Kind == patchresult.Accepted && accepted != "":
			tri.fail("%s and %s are both accepted", accepted, patchID)
		case res.Kind == patchresult.Accepted:
			accepted = patchID
		case res.Kind == patchresult.Unknown || res.Kind == "":
			tri.fail("%s has no final result: %+v", patchID, res)
		case faultless && (res.Kind != patchresult.Outdated || res.Current.Version != base+1):
			tri.fail("%s was not accepted and had the result %+v", patchID, res)
		}
		if (tri.results[patchID].Kind == patchresult.Accepted) != tri.isAcceptedInTable(patchID) {
			tri.fail("%s had the result %s, the table says %s", patchID, tri.results[patchID].Kind, tri.fle.rows["patch/"+patchID].Value)
		}
	}
	if accepted == "" {
		return base, oldKey
	}
	tri.accepted++
	return base + 1, key(base+1, accepted)
}

// checkConverged checks that every node serves the given version after the faults are over.
func (tri *trial) checkConverged(base uint64) {
	for _, pro := range tri.fle.nodes {
		if !pro.dead && (pro.dir.Version() != base || pro.fence.Check() != reason.None || pro.lifecycle.State() != "serving") {
			tri.fail("%s ends at version %d of %d, fence %q, %s", pro.name, pro.dir.Version(), base, pro.fence.Check(), pro.lifecycle.State())
		}
	}
}

func newTrial(seed int64) *trial {
	return &trial{
		fle: newFleet(seed), results: map[string]patchresult.Result{}, withdrawn: map[keyhash.Hash]string{},
		added: map[keyhash.Hash]string{}, versions: map[*process]uint64{},
	}
}

// run starts a fleet, has a first version accepted, runs the scenario and ends with a round without faults. The
// scenario gets the version in force and the hash of its only key, and returns the version and the key after its own
// patches.
func run(t *testing.T, seed int64, scenario func(tri *trial, base uint64, has keyhash.Hash) (uint64, keyhash.Hash)) *trial {
	var tri *trial
	synctest.Test(t, func(*testing.T) {
		tri = newTrial(seed)
		tri.watch(6 * time.Second)
		version, has := tri.round(1, 0, keyhash.Hash{}, plan{submitters: [2]int{0, 5}})
		version, has = scenario(tri, version, has)
		version, _ = tri.round(9, version, has, plan{submitters: [2]int{4, 8}})
		tri.watch(5 * time.Second)
		tri.locked(func() { tri.checkConverged(version); tri.fle.stopped = true })
		time.Sleep(10 * time.Second)
	})
	return tri
}

// Whatever faults are drawn, no node may accept a withdrawn key once the operator has the result, or an added key
// before its patch is accepted, and all results of one patch must agree.
func TestPatchesKeepTheirGuaranteesUnderFaults(t *testing.T) {
	accepted := 0
	rapid.Check(t, func(rt *rapid.T) {
		drawTime := func(low, high time.Duration) *rapid.Generator[time.Duration] {
			return rapid.Map(rapid.IntRange(int(low/time.Millisecond), int(high/time.Millisecond)), func(ms int) time.Duration { return time.Duration(ms) * time.Millisecond })
		}
		faults := rapid.SliceOfN(rapid.Custom(func(rt *rapid.T) fault {
			return fault{
				Kind:   rapid.SampledFrom([]string{"store", "partition", "partitionB", "lossy", "freeze", "freezeLeader", "restart", "killLeader", "isolate", "handover"}).Draw(rt, "kind"),
				Target: rapid.IntRange(0, 8).Draw(rt, "target"),
				Start:  drawTime(0, 20*time.Second).Draw(rt, "start"),
				Length: drawTime(100*time.Millisecond, 40*time.Second).Draw(rt, "length"),
			}
		}), 0, 7).Draw(rt, "faults")
		submitter := rapid.IntRange(0, 8)
		pla := plan{delay: drawTime(0, 25*time.Second).Draw(rt, "delay"), faults: faults}
		pla.submitters = [2]int{submitter.Draw(rt, "first"), submitter.Draw(rt, "second")}
		tri := run(t, rapid.Int64().Draw(rt, "seed"), func(tri *trial, base uint64, has keyhash.Hash) (uint64, keyhash.Hash) {
			return tri.round(2, base, has, pla)
		})
		accepted += tri.accepted
		if len(tri.fle.violations) > 0 {
			rt.Fatalf("%d violations, first: %s", len(tri.fle.violations), tri.fle.violations[0])
		}
		if tri.accepted < 2 {
			rt.Fatalf("only %d rounds had an accepted patch, and the first and last had no faults", tri.accepted)
		}
	})
	t.Logf("%d rounds with an accepted patch", accepted)
}
