package rig2

import (
	"context"
	"flag"
	"fmt"
	"net/http"
	"os"
	"os/signal"
	"strings"
	"syscall"
	"time"
)

// The exit codes of a case.
const (
	exitHeld      = 0
	exitBroken    = 1
	exitCannotRun = 2
)

// runTime bounds a case.
const runTime = 100 * time.Second

// Case is a scenario with a fleet.
type Case struct {
	Configuration string
	Hosts         []Settings
	// Work is what each upstream does with a request.
	Work func(req *http.Request, body []byte) []byte
	// Run plays the scenario, with the disruption if trouble is set, and returns how the rule was broken, or nothing if it
	// held.
	Run func(ctx context.Context, fle *Fleet, trouble bool) (broken string, err error)
}

// Main plays a case and returns the exit code.
func (cas Case) Main() int {
	program := flag.String("node", "target/flamingoreach-host", "program of the node")
	file := flag.String("record", "record.txt", "file for what was sent, answered and run")
	flag.Parse()
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGINT, syscall.SIGTERM)
	defer stop()
	ctx, cancel := context.WithTimeout(ctx, runTime)
	defer cancel()
	rec, err := NewRecord(*file)
	if err != nil {
		return cannotRun(err)
	}
	defer func() { _ = rec.Close() }()
	fle, err := NewFleet(ctx, *program, rec, cas.Configuration)
	if err != nil {
		return cannotRun(err)
	}
	defer fle.Close()
	for _, set := range cas.Hosts {
		if _, err := fle.Add(ctx, set, cas.Work); err != nil {
			return cannotRun(err)
		}
	}
	if err := fle.AwaitReady(ctx); err != nil {
		return cannotRun(err)
	}
	trouble := os.Getenv("TROUBLE") != "0"
	broken, err := cas.Run(ctx, fle, trouble)
	for _, hos := range fle.Hosts {
		rec.Write("at the end", "host", hos.name, "ends", hos.Ends(), "peakMb", hos.PeakMB())
	}
	if err != nil {
		return cannotRun(err)
	}
	rec.Write("result", "trouble", trouble, "broken", broken)
	if broken == "" {
		fmt.Println("held")
		return exitHeld
	}
	fmt.Println("broken:", broken)
	return exitBroken
}

func cannotRun(err error) int {
	fmt.Fprintln(os.Stderr, "the case cannot run:", err)
	return exitCannotRun
}

// The rule on processes that end by themselves: on a tenth of the machines, two at least, three times in a day.
const (
	endsPerDay     = 3
	machineTenth   = 10
	fewestMachines = 2
)

// EndedByThemselves returns on which machines processes have ended by themselves so often that the rule on that is broken, or
// nothing if it holds. It is for cases that end no process.
func (fle *Fleet) EndedByThemselves() string {
	var ends []string
	for _, hos := range fle.Hosts {
		if hos.Ends() >= endsPerDay {
			ends = append(ends, fmt.Sprintf("%s ended %d times", hos.name, hos.Ends()))
		}
	}
	if len(ends) < max(fewestMachines, len(fle.Hosts)/machineTenth) {
		return ""
	}
	return strings.Join(ends, ", ")
}
