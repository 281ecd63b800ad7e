package patch_test

import (
	"context"
	"errors"

	"flamingoreach/core/configuration"
	"flamingoreach/core/configurationstate"
	"flamingoreach/core/patch"
	"flamingoreach/core/patchresult"
	"flamingoreach/core/prepare"
	"flamingoreach/core/row"
	"flamingoreach/core/versionid"
	"flamingoreach/io/configurationtable"
)

// submit starts a patch at a process, and sets the body's version and patch ID as a coordinator does.
func (pro *process) submit(patchID string, base uint64, body configuration.Configuration, finish func(patchresult.Result)) {
	body.Version, body.PatchID = base+1, patchID
	pat := patch.New(patchID, base, "digest-of-"+patchID)
	pat.Finish = finish
	pat.Read = func(patchID string) {
		pro.startTableRequest(func(tab *configurationtable.Table) func() {
			sta, err := tab.Read(context.Background(), patchID)
			return func() { pat.TableRead(sta, err) }
		})
		pro.step()
	}
	write := func(done func(error), request func(tab *configurationtable.Table) error) {
		pro.write(request, done)
		pro.step()
	}
	pat.Store = func(vid versionid.VersionID) {
		write(pat.Stored, func(tab *configurationtable.Table) error { return pro.put(tab, vid, body) })
	}
	pat.Claim = func(vid versionid.VersionID, sta configurationstate.State) {
		write(pat.Claimed, func(tab *configurationtable.Table) error { return tab.Claim(context.Background(), vid, sta) })
	}
	pat.Accept = func(vid versionid.VersionID, sta configurationstate.State) {
		write(pat.Accepted, func(tab *configurationtable.Table) error { return tab.Accept(context.Background(), vid, sta) })
	}
	pat.Abort = func(vid versionid.VersionID) { pro.abort(vid, pat.Aborted); pro.step() }
	pat.AbortOther = func(vid versionid.VersionID) { pro.abort(vid, nil) }
	pat.Prepare = func(msg prepare.Prepare) { pro.askLeader(pat, msg); pro.step() }
	pro.patches = append(pro.patches, pat)
	pat.Start()
}

// step counts the steps of a submission and crashes the process after the one that crashAt names.
func (pro *process) step() {
	if pro.steps++; pro.steps == pro.crashAt {
		pro.dead = true
	}
}

func (pro *process) put(tab *configurationtable.Table, vid versionid.VersionID, body configuration.Configuration) error {
	if _, err := tab.Get(context.Background(), "any"); !errors.Is(err, row.ErrNotFound) {
		return err
	}
	pro.fle.mu.Lock()
	defer pro.fle.mu.Unlock()
	pro.fle.bodies[vid.ObjectName()] = body
	return nil
}
