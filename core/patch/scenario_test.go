package patch_test

import (
	"context"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"flamingoreach/core/datacentre"
	"flamingoreach/core/keyhash"
	"flamingoreach/core/patchresult"
	"flamingoreach/core/reason"
	"flamingoreach/io/configurationtable"
)

// submitAndWait submits one patch at a process and returns its result after a time.
func (tri *trial) submitAndWait(index int, patchID string, base uint64, has keyhash.Hash, wait time.Duration) patchresult.Result {
	tri.locked(func() { tri.submit(tri.runningProcess(index), patchID, base, has) })
	tri.watch(wait)
	return tri.result(patchID)
}

func (tri *trial) expect(kind patchresult.Kind, res patchresult.Result) {
	if res.Kind != kind {
		tri.fail("want %s, have %+v", kind, res)
	}
}

func (tri *trial) result(patchID string) patchresult.Result {
	tri.fle.mu.Lock()
	defer tri.fle.mu.Unlock()
	return tri.results[patchID]
}

// inForceEverywhere reports whether a version is in force at all nodes.
func (tri *trial) inForceEverywhere(version uint64) bool {
	tri.fle.mu.Lock()
	defer tri.fle.mu.Unlock()
	return !slices.ContainsFunc(tri.fle.nodes, func(pro *process) bool { return pro.dir.Version() != version })
}

// expectUsable checks the number of nodes that accept a key.
func (tri *trial) expectUsable(has keyhash.Hash, want int) {
	tri.fle.mu.Lock()
	defer tri.fle.mu.Unlock()
	usable := 0
	for _, pro := range tri.fle.nodes {
		if _, valid := pro.dir.Account(has); valid && pro.fence.Check() == reason.None {
			usable++
		}
	}
	if usable != want {
		tri.fail("the key works at %d nodes, want %d", usable, want)
	}
}

func TestAnIsolatedDataCentreDelaysPatchesOnlyForCutHold(t *testing.T) {
	tri := run(t, 1, func(tri *trial, base uint64, has keyhash.Hash) (uint64, keyhash.Hash) {
		tri.locked(func() { tri.setFault(fault{Kind: "partitionB"}, true) })
		tri.watch(time.Second)
		res := tri.submitAndWait(0, "early", base, has, 9*time.Second)
		tri.expect(patchresult.Refused, res)
		if !slices.Equal(res.Unreachable, []string{"b1"}) {
			tri.fail("unreachable are %v", res.Unreachable)
		}
		tri.watch(4 * time.Second)
		tri.expectUsable(has, 6)
		res = tri.submitAndWait(0, "late", base, has, 3*time.Second)
		tri.expect(patchresult.Accepted, res)
		tri.watch(20 * time.Second)
		tri.locked(func() { tri.setFault(fault{Kind: "partitionB"}, false) })
		tri.watch(5 * time.Second)
		return base + 1, key(base+1, "late")
	})
	require.Empty(t, tri.fle.violations)
}

func TestAPatchWithoutFaultsIsInForceEverywhereWithinSeconds(t *testing.T) {
	var accepted, inForce time.Duration
	tri := run(t, 8, func(tri *trial, base uint64, has keyhash.Hash) (uint64, keyhash.Hash) {
		begin := time.Now()
		tri.locked(func() { tri.submit(tri.runningProcess(0), "quick", base, has) })
		for inForce == 0 && time.Since(begin) < 20*time.Second {
			tri.watch(20 * time.Millisecond)
			if accepted == 0 && tri.result("quick").Kind == patchresult.Accepted {
				accepted = time.Since(begin)
			}
			if tri.inForceEverywhere(base + 1) {
				inForce = time.Since(begin)
			}
		}
		return base + 1, key(base+1, "quick")
	})
	require.Empty(t, tri.fle.violations)
	t.Logf("accepted after %s, in force everywhere after %s", accepted, inForce)
	require.Less(t, accepted, 3*time.Second)
	require.Less(t, inForce, 6*time.Second)
}

// The coordinator in a1 cannot reach b1, but a2 can. The nodes of b1 still serve, so a patch that b1 has not prepared
// must be refused.
func TestADataCentreInContactWithOneLeaderBlocksPatches(t *testing.T) {
	tri := run(t, 7, func(tri *trial, base uint64, has keyhash.Hash) (uint64, keyhash.Hash) {
		tri.locked(func() { tri.fle.partitionedPair = [2]string{"a1", "b1"} })
		tri.watch(20 * time.Second)
		tri.expectUsable(has, 9)
		tri.expect(patchresult.Refused, tri.submitAndWait(0, "withdraw", base, has, 12*time.Second))
		tri.watch(3 * time.Second)
		tri.expectUsable(has, 9)
		tri.locked(func() { tri.fle.partitionedPair = [2]string{} })
		return base, has
	})
	require.Empty(t, tri.fle.violations)
}

func TestAFrozenNodeRefusesTheWithdrawnKeyOnItsFirstCall(t *testing.T) {
	tri := run(t, 2, func(tri *trial, base uint64, has keyhash.Hash) (uint64, keyhash.Hash) {
		tri.locked(func() { tri.setFault(fault{Kind: "freeze", Target: 4}, true) })
		res := tri.submitAndWait(0, "withdraw", base, has, 5*time.Second)
		tri.expect(patchresult.Accepted, res)
		tri.locked(func() { tri.setFault(fault{Kind: "freeze", Target: 4}, false) })
		tri.watch(5 * time.Second)
		return base + 1, key(base+1, "withdraw")
	})
	require.Empty(t, tri.fle.violations)
}

// Declared out means that an operator has marked the data centre as out in the table, so that patches are accepted
// without it. Guards against new nodes of b1 that then serve without the patch accepted meanwhile, and still accept the
// key that it withdrew. The row of b1 must not be marked as out once the new nodes run, because their leader has to
// read the table and join before it grants leases; run checks the calls and the final versions.
func TestADataCentreDeclaredOutReadsTheTableBeforeItServes(t *testing.T) {
	tri := run(t, 3, func(tri *trial, base uint64, has keyhash.Hash) (uint64, keyhash.Hash) {
		tri.locked(func() {
			for _, pro := range tri.fle.nodes {
				pro.dead = pro.dead || pro.centre.Name == "b1"
			}
			dat := datacentre.DataCentre{Name: "b1", Region: "b", Out: true, Revision: 1}
			tri.fle.nodes[0].write(func(tab *configurationtable.Table) error { return tab.SetDataCentre(context.Background(), dat) }, nil)
		})
		tri.watch(time.Second)
		res := tri.submitAndWait(0, "without", base, has, 5*time.Second)
		tri.expect(patchresult.Accepted, res)
		tri.locked(func() {
			for _, name := range []string{"b1.8", "b1.9"} {
				tri.fle.start(name, datacentre.DataCentre{Name: "b1", Region: "b"})
			}
		})
		tri.watch(10 * time.Second)
		tri.locked(func() {
			if value := string(tri.fle.rows["dataCentre/b1"].Value); strings.Contains(value, "out") {
				tri.fail("b1 serves without having joined: %s", value)
			}
		})
		return base + 1, key(base+1, "without")
	})
	require.Empty(t, tri.fle.violations)
}

// The coordinator crashes after each of its requests in turn and leaves the patch unfinished. The patch must still be
// accepted when the operator submits it again at another node.
func TestACoordinatorMayCrashAtEachStep(t *testing.T) {
	died := false
	for step := 1; step <= 14; step++ {
		tri := run(t, int64(step), func(tri *trial, base uint64, has keyhash.Hash) (uint64, keyhash.Hash) {
			tri.locked(func() { tri.runningProcess(8).crashAt = step })
			tri.submitAndWait(8, "orphan", base, has, 4*time.Second)
			tri.locked(func() { died = died || tri.runningProcess(8).name != "b1.2" })
			res := tri.submitAndWait(1, "orphan", base, has, 12*time.Second)
			tri.expect(patchresult.Accepted, res)
			tri.locked(func() { tri.fle.start("b1.9", datacentre.DataCentre{Name: "b1", Region: "b"}) })
			return base + 1, key(base+1, "orphan")
		})
		require.Empty(t, tri.fle.violations, "step %d", step)
	}
	require.True(t, died)
}

func TestAnotherPatchIsAcceptedAfterACoordinatorCrashed(t *testing.T) {
	tri := run(t, 5, func(tri *trial, base uint64, has keyhash.Hash) (uint64, keyhash.Hash) {
		tri.locked(func() { tri.runningProcess(8).crashAt = 6 })
		tri.submitAndWait(8, "orphan", base, has, 4*time.Second)
		res := tri.submitAndWait(1, "next", base, has, 16*time.Second)
		tri.expect(patchresult.Accepted, res)
		tri.expect(patchresult.Refused, tri.submitAndWait(1, "orphan", base, has, time.Second))
		return base + 1, key(base+1, "next")
	})
	require.Empty(t, tri.fle.violations)
}

// The new leader of b1 cannot reach the other nodes of b1, which may still hold leases of the earlier epoch. It must
// not report the patch as prepared before those have expired.
func TestANewLeaderWaitsForTheLeasesOfTheOldOne(t *testing.T) {
	tri := run(t, 6, func(tri *trial, base uint64, has keyhash.Hash) (uint64, keyhash.Hash) {
		tri.locked(func() {
			lea := tri.fle.leaders["b1"]
			for _, pro := range tri.fle.nodes {
				pro.partitioned = pro.centre.Name == "b1" && pro != lea.process
			}
			// The same process leads again in a new epoch, as after an expired lease and a new election.
			lea.epoch++
		})
		res := tri.submitAndWait(0, "withdraw", base, has, 6*time.Second)
		tri.expect(patchresult.Accepted, res)
		tri.locked(func() {
			for _, pro := range tri.fle.nodes {
				pro.partitioned = false
			}
		})
		tri.watch(5 * time.Second)
		return base + 1, key(base+1, "withdraw")
	})
	require.Empty(t, tri.fle.violations)
}
