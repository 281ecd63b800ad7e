package node

import (
	"context"

	"github.com/google/uuid"

	"flamingoreach/core/configuration"
	"flamingoreach/core/configurationstate"
	"flamingoreach/core/patch"
	"flamingoreach/core/patchresult"
	"flamingoreach/core/prepare"
	"flamingoreach/core/prepared"
	"flamingoreach/core/versionid"
	"flamingoreach/io/dispatcher"
	"flamingoreach/io/peer"
)

// submitPatch coordinates a patch and waits for its result, which is Unknown if the context ends first. It fails only if
// the configuration cannot be encoded.
func (nod *Node) submitPatch(ctx context.Context, id uuid.UUID, base uint64, body configuration.Configuration) (patchresult.Result, error) {
	text, err := encodeBody(body)
	if err != nil {
		return patchresult.Result{}, err
	}
	results := make(chan patchresult.Result, 1)
	pat := patch.New(id.String(), base, bodyDigest(text))
	nod.setUpPatch(pat, text)
	pat.Finish = func(res patchresult.Result) {
		delete(nod.patches, pat)
		results <- res
	}
	nod.dispatcher.Post(ctx, "patch.submitted", id, func() {
		nod.patches[pat] = true
		pat.Start()
	})
	select {
	case res := <-results:
		nod.logs.Control.Info("patch", "patch", id, "base", base, "result", res.Kind, "version", res.Version)
		return res, nil
	case <-ctx.Done():
		return patchresult.Result{Kind: patchresult.Unknown, PatchID: id.String()}, nil
	}
}

// setUpPatch connects one submitted patch with the platform and the leaders of all data centres.
func (nod *Node) setUpPatch(pat *patch.Patch, text []byte) {
	pat.Read = func(patchID string) {
		dispatcher.Start(nod.dispatcher, "patch.tableRead", storeTimeout, func(ctx context.Context) (configurationstate.State, error) {
			return nod.configurationTable.Read(ctx, patchID)
		}, pat.TableRead)
	}
	pat.Store = func(vid versionid.VersionID) {
		startStep(nod, "patch.stored", func(ctx context.Context) error { return nod.objects.Put(ctx, vid.ObjectName(), text) }, pat.Stored)
	}
	pat.Claim = func(vid versionid.VersionID, read configurationstate.State) {
		startStep(nod, "patch.claimed", func(ctx context.Context) error { return nod.configurationTable.Claim(ctx, vid, read) }, pat.Claimed)
	}
	pat.Accept = func(vid versionid.VersionID, read configurationstate.State) {
		startStep(nod, "patch.accepted", func(ctx context.Context) error { return nod.configurationTable.Accept(ctx, vid, read) }, pat.Accepted)
	}
	pat.Abort = func(vid versionid.VersionID) {
		startStep(nod, "patch.aborted", func(ctx context.Context) error { return nod.configurationTable.Abort(ctx, vid) }, pat.Aborted)
	}
	pat.AbortOther = func(vid versionid.VersionID) {
		nod.startWrite("patch.otherAborted", func(ctx context.Context) error { return nod.configurationTable.Abort(ctx, vid) })
	}
	pat.Prepare = func(msg prepare.Prepare) { nod.askPrepare(msg, pat.HandleAnswer) }
}

func startStep(nod *Node, name string, step func(ctx context.Context) error, done func(err error)) {
	dispatcher.Start(nod.dispatcher, name, storeTimeout, func(ctx context.Context) (struct{}, error) { return struct{}{}, step(ctx) },
		func(_ struct{}, err error) { done(err) })
}

func (nod *Node) askPrepare(msg prepare.Prepare, answered func(ans prepared.Prepared)) {
	address := nod.leaderAddress(msg.DataCentre)
	if address == nod.self.Peer {
		nod.control.Offer(dispatcher.Event("patch.prepared", nil, func() { answered(nod.configurationLeader.ReceivePrepare(msg)) }))
		return
	}
	dispatcher.Start(nod.dispatcher, "patch.prepared", askTimeout, func(ctx context.Context) (prepared.Prepared, error) {
		return peer.Ask[prepare.Prepare, prepared.Prepared](ctx, nod.peerClient, address, askPrepare, msg)
	}, func(ans prepared.Prepared, err error) {
		if err == nil {
			answered(ans)
		}
	})
}

// tickPatches lets the patches that this node coordinates resend requests and time out.
func (nod *Node) tickPatches() {
	for pat := range nod.patches {
		pat.Tick()
	}
}
