// Capacity measures the cost of the control plane for a node at several sizes of its fleet and prints tables.
package main

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"slices"
	"time"

	"github.com/rotisserie/eris"

	"flamingoreach/measure/capacity"
	"flamingoreach/measure/capacity/sample"
	"flamingoreach/measure/capacity/setup"
)

const (
	// span is the time for which a fleet in one process is measured, processSpan that for a leader in a separate
	// process.
	span        = 10 * time.Second
	processSpan = 20 * time.Second
	// plannedNodes is the size of a data centre in the plan: 6,000 nodes in 28 data centres.
	plannedNodes       = 6000.0 / 28
	plannedDataCentres = 28
	// idleAccounts is the number of accounts in the configuration of the fleets without calls.
	idleAccounts = 8
)

// series is a set of measurements that vary one size of the fleet; arguments of the command select series by name.
type series struct {
	name string
	run  func(ctx context.Context) error
}

var allSeries = []series{
	{"directory", byRoutes},
	{"nodes", byNodes},
	{"accounts", byAccounts},
	{"dataCentres", byDataCentres},
	{"joins", byJoins},
	{"processes", byProcesses},
}

func main() { os.Exit(status()) }

// status runs the selected series, or all if the command has no arguments, and returns the exit code.
func status() int {
	ctx, cancel := signal.NotifyContext(context.Background(), os.Interrupt)
	defer cancel()
	for _, ser := range allSeries {
		if len(os.Args) > 1 && !slices.Contains(os.Args[1:], ser.name) {
			continue
		}
		if err := ser.run(ctx); err != nil {
			fmt.Fprintln(os.Stderr, eris.ToString(err, false))
			return 1
		}
	}
	return 0
}

// byNodes measures one data centre of several sizes without calls.
func byNodes(ctx context.Context) error {
	var setups []setup.Setup
	for _, nodes := range []int{5, 10, 20, 40, 60} {
		setups = append(setups, setup.Setup{DataCentres: 1, Nodes: nodes, Accounts: idleAccounts})
	}
	samples, err := measureAll(ctx, setups)
	if err != nil {
		return err
	}
	printTable("nodes of one data centre, no calls", samples, nodeCount, append(costs, patches...))
	printFits(samples, nodeCount, append(costs, patches...), plannedNodes)
	return nil
}

// byAccounts measures several numbers of accounts, each of which sends one call per second to each node.
func byAccounts(ctx context.Context) error {
	var setups []setup.Setup
	for _, accounts := range []int{8, 50, 100, 200} {
		setups = append(setups, setup.Setup{DataCentres: 1, Nodes: 5, Accounts: accounts, Calls: true})
	}
	samples, err := measureAll(ctx, setups)
	if err != nil {
		return err
	}
	printTable("accounts, each called once a second at each of 5 nodes", samples, accountCount, append(costs, answers...))
	printFits(samples, accountCount, costs, 200)
	return nil
}

// byDataCentres measures several numbers of data centres with three nodes each, without calls.
func byDataCentres(ctx context.Context) error {
	var setups []setup.Setup
	for _, dataCentres := range []int{2, 4, 8, 14} {
		setups = append(setups, setup.Setup{DataCentres: dataCentres, Nodes: 3, Accounts: idleAccounts})
	}
	samples, err := measureAll(ctx, setups)
	if err != nil {
		return err
	}
	printTable("data centres of 3 nodes, no calls", samples, dataCentreCount, append(costs, patches...))
	printFits(samples, dataCentreCount, append(costs, patches...), plannedDataCentres)
	return nil
}

// byJoins measures the simultaneous start of all nodes of a data centre.
func byJoins(ctx context.Context) error {
	var samples []sample.Sample
	for _, joining := range []int{5, 10, 20, 40} {
		sam, err := capacity.MeasureJoin(ctx, setup.Setup{DataCentres: 1, Nodes: 3, Accounts: idleAccounts, JoiningNodes: joining})
		if err != nil {
			return err
		}
		samples = append(samples, sam)
	}
	printTable("nodes that join an empty data centre at once", samples, nodeCount, joins)
	printFits(samples, nodeCount, joins, plannedNodes)
	return nil
}

// byProcesses measures a leader in a separate process; the other nodes of its data centre run in separate processes
// too.
func byProcesses(ctx context.Context) error {
	var samples []sample.Sample
	for _, nodes := range []int{2, 5, 10, 20} {
		sam, err := capacity.MeasureProcesses(ctx, nodes, idleAccounts, processSpan)
		if err != nil {
			return err
		}
		samples = append(samples, sam)
	}
	printTable("nodes in processes of their own", samples, nodeCount, processes)
	printFits(samples, nodeCount, processes, plannedNodes)
	return nil
}

func measureAll(ctx context.Context, setups []setup.Setup) ([]sample.Sample, error) {
	var samples []sample.Sample
	for _, set := range setups {
		sam, err := capacity.Measure(ctx, set, span)
		if err != nil {
			return nil, err
		}
		samples = append(samples, sam)
	}
	return samples, nil
}
