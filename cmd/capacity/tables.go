package main

import (
	"context"
	"fmt"
	"strings"

	"flamingoreach/measure/capacity"
	"flamingoreach/measure/capacity/linefit"
	"flamingoreach/measure/capacity/sample"
)

// metric is a figure of a sample: its name and format in the tables, and the function that reads it.
type metric struct {
	name   string
	format string
	read   func(sam sample.Sample) float64
}

var (
	nodeCount       = metric{"nodes", "%.0f", func(sam sample.Sample) float64 { return float64(sam.Nodes) }}
	accountCount    = metric{"accounts", "%.0f", func(sam sample.Sample) float64 { return float64(sam.Accounts) }}
	dataCentreCount = metric{"data centres", "%.0f", func(sam sample.Sample) float64 { return float64(sam.DataCentres) }}
)

var costs = []metric{
	{"leader: control thread, part of a core", "%.4f", func(sam sample.Sample) float64 { return sam.LeaderCPU }},
	{"node: control thread, part of a core", "%.4f", func(sam sample.Sample) float64 { return sam.NodeCPU }},
	{"leader: bytes/s", "%.0f", func(sam sample.Sample) float64 { return sam.LeaderBytes }},
	{"node: bytes/s", "%.0f", func(sam sample.Sample) float64 { return sam.NodeBytes }},
	{"leader: bytes/s on connections", "%.0f", func(sam sample.Sample) float64 { return sam.LeaderConnectionBytes }},
	{"node: bytes/s on connections", "%.0f", func(sam sample.Sample) float64 { return sam.NodeConnectionBytes }},
	{"leader: events/s", "%.1f", func(sam sample.Sample) float64 { return sam.LeaderEvents }},
	{"node: events/s", "%.1f", func(sam sample.Sample) float64 { return sam.NodeEvents }},
	{"all threads, part of a core a node", "%.4f", func(sam sample.Sample) float64 { return sam.ProcessCPU }},
	{"memory in MB a node", "%.2f", func(sam sample.Sample) float64 { return sam.HeapBytes / 1e6 }},
	{"platform reads/s", "%.2f", func(sam sample.Sample) float64 { return sam.TableReads }},
	{"platform writes/s", "%.2f", func(sam sample.Sample) float64 { return sam.TableWrites }},
}

var patches = []metric{
	{"patch: time in ms", "%.0f", func(sam sample.Sample) float64 { return float64(sam.PatchTime.Milliseconds()) }},
	{"patch: bytes at all nodes", "%.0f", func(sam sample.Sample) float64 { return sam.PatchBytes }},
}

var answers = []metric{
	{"calls answered", "%.0f", func(sam sample.Sample) float64 { return sam.CallsAnswered }},
	{"calls refused", "%.0f", func(sam sample.Sample) float64 { return sam.CallsRefused }},
}

var processes = []metric{
	{"leader: all threads, part of a core", "%.4f", func(sam sample.Sample) float64 { return sam.LeaderProcessCPU }},
	{"leader: resident MB, idle", "%.1f", func(sam sample.Sample) float64 { return sam.IdleResidentBytes / 1e6 }},
	{"leader: resident MB, after 1,000 calls", "%.1f", func(sam sample.Sample) float64 { return sam.BusyResidentBytes / 1e6 }},
}

var joins = []metric{
	{"time in ms until all serve", "%.0f", func(sam sample.Sample) float64 { return float64(sam.JoinTime.Milliseconds()) }},
	{"platform reads", "%.0f", func(sam sample.Sample) float64 { return sam.JoinReads }},
	{"platform writes", "%.0f", func(sam sample.Sample) float64 { return sam.JoinWrites }},
}

// printTable prints a table with a column for each sample and a row for each metric.
func printTable(title string, samples []sample.Sample, by metric, metrics []metric) {
	fmt.Printf("\n### By %s\n\n| %s |", title, by.name)
	for _, sam := range samples {
		fmt.Printf(" "+by.format+" |", by.read(sam))
	}
	fmt.Println("\n|---" + strings.Repeat("|---", len(samples)) + "|")
	for _, met := range metrics {
		fmt.Printf("| %s |", met.name)
		for _, sam := range samples {
			fmt.Printf(" "+met.format+" |", met.read(sam))
		}
		fmt.Println()
	}
}

// printFits prints the line fitted to each metric, with its value at the planned size.
func printFits(samples []sample.Sample, by metric, metrics []metric, planned float64) {
	fmt.Printf("\n| fit | at 0 %s | each more | largest residual | at %.0f |\n|---|---|---|---|---|\n", by.name, planned)
	for _, met := range metrics {
		var xs, ys []float64
		for _, sam := range samples {
			xs = append(xs, by.read(sam))
			ys = append(ys, met.read(sam))
		}
		lin := linefit.Fit(xs, ys)
		fmt.Printf("| %s | %.4g | %.4g | %.0f%% | %.4g |\n", met.name, lin.Intercept, lin.PerUnit, lin.Residual*100, lin.At(planned))
	}
}

// byRoutes measures the memory and the text of a configuration with several numbers of routes.
func byRoutes(context.Context) error {
	fmt.Println("\n### By routes of a configuration\n\n| routes | state in bytes | build in µs | text in bytes | compressed |\n|---|---|---|---|---|")
	var xs, ys, texts, compressedSizes []float64
	for _, routes := range []int{100, 200, 400, 770} {
		state, built, text, compressed, err := capacity.MeasureDirectory(routes, idleAccounts)
		if err != nil {
			return err
		}
		fmt.Printf("| %d | %d | %d | %d | %d |\n", routes, state, built.Microseconds(), text, compressed)
		xs, ys, texts = append(xs, float64(routes)), append(ys, float64(state)), append(texts, float64(text))
		compressedSizes = append(compressedSizes, float64(compressed))
	}
	for _, fit := range []struct {
		name string
		line linefit.Line
	}{{"state", linefit.Fit(xs, ys)}, {"text", linefit.Fit(xs, texts)}, {"compressed", linefit.Fit(xs, compressedSizes)}} {
		fmt.Printf("\n%s: %.0f bytes and %.1f a route, largest residual %.0f%%\n", fit.name, fit.line.Intercept, fit.line.PerUnit, fit.line.Residual*100)
	}
	return nil
}
