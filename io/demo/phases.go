package demo

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"strings"
	"time"

	"connectrpc.com/connect"
	"github.com/google/uuid"
	"github.com/rotisserie/eris"

	"flamingoreach/io/localfleet"
	"flamingoreach/io/operator/operatorv1"
	"flamingoreach/io/operator/operatorv1/operatorv1connect"
)

const (
	startTimeout  = 20 * time.Second
	patchInterval = 250 * time.Millisecond
)

func (dem *Demo) start(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, startTimeout)
	defer cancel()
	all := sites()
	dem.printLine("starting a platform stand-in, and %d nodes with a backend server each, in 4 data centres of 2 regions", len(all))
	fle, err := localfleet.Start(ctx, all, dem.Log)
	if err != nil {
		return err
	}
	dem.fleet = fle
	dem.printLine("all processes listen")
	if err := dem.patch(ctx, 0, configuration("")); err != nil {
		return err
	}
	dem.printLine("version 1 of the configuration accepted: 2 routes, %d client accounts", len(accounts))
	if err := fle.AwaitServing(ctx, 1); err != nil {
		return err
	}
	dem.summary.Start = time.Since(dem.started)
	dem.printLine("all nodes serve version 1")
	return nil
}

// patch submits a version until it is accepted, because data centres that have just started cannot prepare one yet.
func (dem *Demo) patch(ctx context.Context, base uint64, text []byte) error {
	ctx, cancel := context.WithTimeout(ctx, patchTimeout)
	defer cancel()
	client := operatorv1connect.NewOperatorServiceClient(http.DefaultClient, "http://"+dem.fleet.Nodes[0].Addresses().Operators.String())
	req := &operatorv1.PatchConfigurationRequest{Base: base, Id: uuid.NewString(), Text: text}
	for {
		res, err := client.PatchConfiguration(ctx, connect.NewRequest(req))
		if err != nil {
			return eris.Wrap(err, "patch configuration")
		}
		switch res.Msg.GetResult() {
		case operatorv1.Result_RESULT_ACCEPTED:
			return nil
		case operatorv1.Result_RESULT_REFUSED:
			// A refused patch is final, so the next try needs a new patch ID.
			req.Id = uuid.NewString()
			dem.printLine("patch refused, asking again: %s", strings.Join(res.Msg.GetDetails(), "; "))
		case operatorv1.Result_RESULT_UNSPECIFIED:
			dem.printLine("result of the patch not known, asking again with its ID")
		default:
			return eris.Errorf("patch configuration: %s %v", res.Msg.GetResult(), res.Msg.GetDetails())
		}
		if err := pause(ctx, patchInterval); err != nil {
			return err
		}
	}
}

func (dem *Demo) sendOrdinaryLoad(ctx context.Context) error {
	if err := dem.startLoad(ctx); err != nil {
		return err
	}
	for _, acc := range accounts {
		dem.printLine("%s sends %g requests/s and may send %g", acc.name, acc.offeredRate, acc.rate)
	}
	return dem.waitUntil(ctx, surgeAt)
}

func (dem *Demo) surge(ctx context.Context) error {
	dem.printLine("surge: every account sends %d times as much for %s", surgeFactor, surgeLength)
	return dem.waitUntil(ctx, surgeAt+surgeLength)
}

func (dem *Demo) awaitRecovery(ctx context.Context) error {
	dem.printLine("the surge is over")
	return dem.waitUntil(ctx, withdrawAt)
}

func (dem *Demo) withdrawKey(ctx context.Context) error {
	dem.printLine("withdrawing the second key of bank-b, which is in use")
	if err := dem.patch(ctx, 1, configuration(withdrawnKey())); err != nil {
		return err
	}
	dem.withdrawnAt = time.Now()
	dem.printLine("version 2 accepted: the key is withdrawn")
	return pause(ctx, leaveDelay)
}

func (dem *Demo) stopBackendServer(ctx context.Context) error {
	bas := dem.fleet.BackendServers[0]
	dem.printLine("the backend server of quotes in west-a leaves")
	go func() { dem.backendServerClosed <- bas.Close(context.WithoutCancel(ctx)) }()
	waitErr := pause(ctx, loadTail)
	close(dem.loadEnough)
	end := <-dem.loadEnded
	dem.summary.Load = end.result
	err := errors.Join(waitErr, end.err, <-dem.backendServerClosed)
	dem.printLine("the backend server has left, and all callers have their answers")
	if ctx.Err() != nil {
		return ctx.Err()
	}
	return err
}

// close checks the guarantees and stops the fleet, also after a phase that failed.
func (dem *Demo) close(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), stopTimeout)
	defer cancel()
	if err := dem.thread.Do(ctx, "demo.ended", func() { dem.lastReported = time.Time{} }); err != nil {
		return err
	}
	if dem.fleet == nil {
		return nil
	}
	checkErr := dem.checkGuarantees(ctx)
	stopStart := time.Now()
	dem.printLine("stopping the fleet")
	err := dem.fleet.Close(ctx)
	dem.summary.Stop = time.Since(stopStart)
	if err != nil {
		dem.summary.Violations = append(dem.summary.Violations, fmt.Sprintf("a planned stop failed: %v", err))
	}
	return checkErr
}

// waitUntil waits until an offset from the start of the load.
func (dem *Demo) waitUntil(ctx context.Context, offset time.Duration) error {
	return pause(ctx, time.Until(dem.loadStarted.Add(offset)))
}

func pause(ctx context.Context, span time.Duration) error {
	timer := time.NewTimer(span)
	defer timer.Stop()
	select {
	case <-timer.C:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}
