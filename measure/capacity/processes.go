package capacity

import (
	"bytes"
	"context"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"time"

	"github.com/rotisserie/eris"

	"flamingoreach/measure/capacity/callgenerator"
	"flamingoreach/measure/capacity/sample"
	"flamingoreach/proofs/processfleet"
)

const (
	measuredCalls = 1000
	// clockTick is the unit of processor time in /proc.
	clockTick = 10 * time.Millisecond
	// The positions of utime and stime among the fields of /proc/PID/stat that follow the program's name.
	userField   = 11
	systemField = 12
)

// MeasureProcesses runs the nodes of one data centre in separate processes and measures the first, which is the leader.
// It fails if the processes cannot be started or if a call to the leader gets no complete answer.
func MeasureProcesses(ctx context.Context, nodes, accounts int, span time.Duration) (sample.Sample, error) {
	bounded, cancel := context.WithTimeout(ctx, startTimeout+span)
	defer cancel()
	folder, err := os.MkdirTemp("", "capacity")
	if err != nil {
		return sample.Sample{}, eris.Wrap(err, "create temporary folder")
	}
	defer func() { _ = os.RemoveAll(folder) }()
	fle := &processfleet.Fleet{Program: filepath.Join(folder, "flamingoreach"), Folder: folder}
	if text, err := exec.CommandContext(bounded, "go", "build", "-o", fle.Program, "flamingoreach/cmd/flamingoreach").CombinedOutput(); err != nil {
		return sample.Sample{}, eris.Wrapf(err, "build node: %s", text)
	}
	defer fle.Close()
	var sites []*processfleet.Site
	for number := range nodes {
		sites = append(sites, &processfleet.Site{Name: fmt.Sprint("n", number), Region: "r", DataCentre: "d", Service: "s"})
	}
	if err := fle.Start(bounded, sites...); err != nil {
		return sample.Sample{}, err
	}
	if err := submit(bounded, sites[0].Addresses.Operators, accounts, 1); err != nil {
		return sample.Sample{}, err
	}
	time.Sleep(settleTime)
	sam := sample.Sample{Nodes: nodes, DataCentres: 1, Accounts: accounts}
	return sam, observeProcess(bounded, sites[0], accounts, span, &sam)
}

func observeProcess(ctx context.Context, sit *processfleet.Site, accounts int, span time.Duration, sam *sample.Sample) error {
	pid := sit.Node.PID()
	before, err := processTime(pid)
	if err != nil {
		return err
	}
	time.Sleep(span)
	after, err := processTime(pid)
	if err != nil {
		return err
	}
	sam.LeaderProcessCPU = (after - before).Seconds() / span.Seconds()
	if sam.IdleResidentBytes, err = residentBytes(pid); err != nil {
		return err
	}
	var keys []string
	for account := range accounts {
		keys = append(keys, apiKey(account))
	}
	load := callgenerator.New(keys)
	if failed := load.Run(ctx, sit.Addresses.Callers, measuredCalls); failed > 0 {
		return eris.Errorf("%d of %d calls to the measured node were not answered in full", failed, measuredCalls)
	}
	sam.BusyResidentBytes, err = residentBytes(pid)
	return err
}

// processTime returns the processor time that all threads of a process have used.
func processTime(pid int) (time.Duration, error) {
	text, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", pid))
	if err != nil {
		return 0, eris.Wrap(err, "read processor time")
	}
	fields := bytes.Fields(text[bytes.LastIndexByte(text, ')')+1:])
	var ticks int
	for _, field := range []int{userField, systemField} {
		count, err := strconv.Atoi(string(fields[field]))
		if err != nil {
			return 0, eris.Wrap(err, "decode processor time")
		}
		ticks += count
	}
	return time.Duration(ticks) * clockTick, nil
}

func residentBytes(pid int) (float64, error) {
	text, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
	if err != nil {
		return 0, eris.Wrap(err, "read memory")
	}
	for line := range bytes.Lines(text) {
		var kilobytes float64
		if _, err := fmt.Sscanf(string(line), "VmRSS: %f kB", &kilobytes); err == nil {
			return kilobytes * 1024, nil
		}
	}
	return 0, eris.Errorf("status of process %d has no resident memory", pid)
}
