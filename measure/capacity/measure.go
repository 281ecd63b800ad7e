package capacity

import (
	"context"
	"runtime"
	"time"

	"flamingoreach/core/controlusage"
	"flamingoreach/core/processortime"
	"flamingoreach/io/localfleet"
	"flamingoreach/measure/capacity/callgenerator"
	"flamingoreach/measure/capacity/sample"
	"flamingoreach/measure/capacity/setup"
)

const (
	// startTimeout bounds a measurement without the span that is measured.
	startTimeout = 2 * time.Minute
	// settleTime is the wait before a measurement, so that the start of the nodes and calls is not measured.
	settleTime = 5 * time.Second
)

// Measure starts a fleet, waits until it has settled and measures it for a span of time. If the setup has no calls, it
// then measures one change of the configuration as well. It fails if the fleet does not serve in time.
func Measure(ctx context.Context, set setup.Setup, span time.Duration) (sample.Sample, error) {
	bounded, cancel := context.WithTimeout(ctx, startTimeout+span)
	defer cancel()
	fle, err := startFleet(bounded, set)
	if err != nil {
		return sample.Sample{}, err
	}
	defer func() { _ = fle.Close(context.WithoutCancel(ctx)) }()
	time.Sleep(settleTime)
	sam := sample.Sample{Nodes: set.Nodes, DataCentres: set.DataCentres, Accounts: set.Accounts}
	var load *callgenerator.Generator
	if set.Calls {
		load = startCalls(bounded, fle, set.Accounts)
		time.Sleep(settleTime)
	}
	observe(fle, &sam, span)
	if load != nil {
		answered, failed := load.Close()
		sam.CallsAnswered, sam.CallsRefused = float64(answered), float64(failed)
		return sam, nil
	}
	return sam, observePatch(bounded, fle, &sam)
}

// MeasureJoin measures the simultaneous start of several nodes in an empty data centre while a fleet is running. It
// fails if the fleet does not serve in time.
func MeasureJoin(ctx context.Context, set setup.Setup) (sample.Sample, error) {
	bounded, cancel := context.WithTimeout(ctx, startTimeout)
	defer cancel()
	fle, err := startFleet(bounded, set)
	if err != nil {
		return sample.Sample{}, err
	}
	defer func() { _ = fle.Close(context.WithoutCancel(ctx)) }()
	before, began := fle.Platform.Contents(), time.Now()
	if err := fle.StartDeferred(bounded); err != nil {
		return sample.Sample{}, err
	}
	if err := fle.AwaitServing(bounded, 1); err != nil {
		return sample.Sample{}, err
	}
	after := fle.Platform.Contents()
	return sample.Sample{
		Nodes: set.JoiningNodes, JoinTime: time.Since(began),
		JoinReads: float64(after.Reads - before.Reads), JoinWrites: float64(after.Writes - before.Writes),
	}, nil
}

func startCalls(ctx context.Context, fle *localfleet.Fleet, accounts int) *callgenerator.Generator {
	var keys []string
	for account := range accounts {
		keys = append(keys, apiKey(account))
	}
	load := callgenerator.New(keys)
	for _, nod := range fle.Nodes {
		load.Start(ctx, nod.Addresses().Callers)
	}
	return load
}

// observe fills in the sample from the differences between the counters of all nodes before and after a span of time.
func observe(fle *localfleet.Fleet, sam *sample.Sample, span time.Duration) {
	before, platform, processor := usages(fle), fle.Platform.Contents(), processorTime()
	time.Sleep(span)
	after, platformAfter, processorAfter := usages(fle), fle.Platform.Contents(), processorTime()
	leaders := 0
	for _, use := range after {
		if use.Leads {
			leaders++
		}
	}
	for index, use := range after {
		old := before[index]
		cpu := (use.ProcessorTime - old.ProcessorTime).Seconds() / span.Seconds()
		bytes := float64(use.MessageBytes-old.MessageBytes) / span.Seconds()
		connectionBytes := float64(use.ConnectionBytes-old.ConnectionBytes) / span.Seconds()
		events := float64(use.Events-old.Events) / span.Seconds()
		if use.Leads {
			sam.LeaderCPU += cpu / float64(leaders)
			sam.LeaderBytes += bytes / float64(leaders)
			sam.LeaderConnectionBytes += connectionBytes / float64(leaders)
			sam.LeaderEvents += events / float64(leaders)
			continue
		}
		others := float64(len(after) - leaders)
		sam.NodeCPU += cpu / others
		sam.NodeBytes += bytes / others
		sam.NodeConnectionBytes += connectionBytes / others
		sam.NodeEvents += events / others
	}
	sam.ProcessCPU = (processorAfter - processor).Seconds() / span.Seconds() / float64(len(after))
	sam.TableReads = float64(platformAfter.Reads-platform.Reads) / span.Seconds()
	sam.TableWrites = float64(platformAfter.Writes-platform.Writes) / span.Seconds()
	runtime.GC()
	var memory runtime.MemStats
	runtime.ReadMemStats(&memory)
	sam.HeapBytes = float64(memory.HeapAlloc+memory.StackInuse) / float64(len(after))
}

// observePatch puts version 2 into force and measures its time and bytes. It subtracts the bytes that the fleet would
// have sent without the patch, calculated from the sample's rates.
func observePatch(ctx context.Context, fle *localfleet.Fleet, sam *sample.Sample) error {
	leaders := float64(sam.DataCentres)
	idleBytesPerSecond := sam.LeaderBytes*leaders + sam.NodeBytes*(float64(len(fle.Nodes))-leaders)
	before, began := usages(fle), time.Now()
	if err := patch(ctx, fle, sam.Accounts, 2); err != nil {
		return err
	}
	sam.PatchTime = time.Since(began)
	for index, use := range usages(fle) {
		sam.PatchBytes += float64(use.MessageBytes - before[index].MessageBytes)
	}
	sam.PatchBytes -= idleBytesPerSecond * sam.PatchTime.Seconds()
	return nil
}

func usages(fle *localfleet.Fleet) []controlusage.Usage {
	all := make([]controlusage.Usage, 0, len(fle.Nodes))
	for _, nod := range fle.Nodes {
		all = append(all, nod.ControlUsage())
	}
	return all
}

func processorTime() time.Duration {
	used, err := processortime.OfProcess()
	if err != nil {
		return 0
	}
	return used
}
