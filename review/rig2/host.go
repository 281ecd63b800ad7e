package rig2

import (
	"bufio"
	"bytes"
	"context"
	"fmt"
	"net/http"
	"net/netip"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

const (
	memoryInterval = 5 * time.Millisecond
	kbPerMB        = 1 << 10
	probeTimeout   = time.Second
	// restartDelay is the platform's delay before it starts a process again.
	restartDelay = 500 * time.Millisecond
)

// Host is a node process with its backend server.
type Host struct {
	Upstream        *Upstream
	Outbound, Ready netip.AddrPort

	name, folder, program string
	settings              Settings
	record                *Record
	peakKB                atomic.Int64
	ends                  atomic.Int64

	mut     sync.Mutex
	process *os.Process
	// ended is closed when the present process has ended. closing is set once no other one shall be started.
	ended   chan struct{}
	closing bool
}

// Start starts the node with the command of the deploy file. The platform's part is played too: a process that exceeds its
// memory is killed, and one that has ended is started again after restartDelay.
func (hos *Host) Start() error {
	hos.mut.Lock()
	defer hos.mut.Unlock()
	return hos.startLocked()
}

func (hos *Host) startLocked() error {
	log, err := os.OpenFile(filepath.Join(hos.folder, hos.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, fileMode)
	if err != nil {
		return err
	}
	cmd := exec.CommandContext(context.Background(), hos.program, "node")
	cmd.Env = append(os.Environ(), "FLAMINGOREACH_SETTINGS="+hos.settingsFile())
	cmd.Stdout, cmd.Stderr = log, log
	cmd.SysProcAttr = &syscall.SysProcAttr{Setpgid: true}
	if err := cmd.Start(); err != nil {
		return err
	}
	ended := make(chan struct{})
	hos.process, hos.ended = cmd.Process, ended
	hos.record.Write("node started", "host", hos.name, "process", cmd.Process.Pid, "outbound", hos.Outbound, "memoryMb", hos.settings.MemoryMB)
	go hos.watchMemory(cmd.Process, ended)
	go func() {
		err := cmd.Wait()
		_ = log.Close()
		close(ended)
		hos.restart(err)
	}()
	return nil
}

// restart counts the end of a process and starts the next one, unless the fleet is being closed.
func (hos *Host) restart(err error) {
	hos.mut.Lock()
	closing := hos.closing
	hos.mut.Unlock()
	if closing {
		return
	}
	hos.record.Write("node ended", "host", hos.name, "error", fmt.Sprint(err), "ends", hos.ends.Add(1))
	time.Sleep(restartDelay)
	hos.mut.Lock()
	defer hos.mut.Unlock()
	if hos.closing {
		return
	}
	if err := hos.startLocked(); err != nil {
		hos.record.Write("node not started", "host", hos.name, "error", err)
	}
}

// Signal sends a signal to the node.
func (hos *Host) Signal(sig syscall.Signal) {
	hos.mut.Lock()
	defer hos.mut.Unlock()
	hos.record.Write("signal", "host", hos.name, "signal", sig)
	_ = hos.process.Signal(sig)
}

// Ends returns how often the node has ended.
func (hos *Host) Ends() int { return int(hos.ends.Load()) }

// Close kills the node and waits for its end.
func (hos *Host) Close() {
	hos.mut.Lock()
	defer hos.mut.Unlock()
	hos.closing = true
	if hos.process == nil {
		return
	}
	_ = hos.process.Kill()
	<-hos.ended
}

// PeakMB returns the most memory that the node was seen to use.
func (hos *Host) PeakMB() int64 { return hos.peakKB.Load() / kbPerMB }

// IsReady asks the node whether it is ready.
func (hos *Host) IsReady(ctx context.Context) bool {
	ctx, cancel := context.WithTimeout(ctx, probeTimeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+hos.Ready.String()+"/v1/ready", http.NoBody)
	if err != nil {
		return false
	}
	res, err := http.DefaultClient.Do(req)
	if err != nil {
		return false
	}
	_ = res.Body.Close()
	return res.StatusCode == http.StatusOK
}

// watchMemory kills the process as the platform does if its memory exceeds the bound. Only anonymous memory counts, so that
// the pages of the program's file do not.
func (hos *Host) watchMemory(process *os.Process, ended <-chan struct{}) {
	ticker := time.NewTicker(memoryInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ended:
			return
		case <-ticker.C:
		}
		used := anonymousKB(process.Pid)
		if used > hos.peakKB.Load() {
			hos.peakKB.Store(used)
		}
		if used > int64(hos.settings.MemoryMB)*kbPerMB {
			hos.record.Write("memory exceeded", "host", hos.name, "usedMb", used/kbPerMB, "boundMb", hos.settings.MemoryMB)
			_ = process.Kill()
			return
		}
	}
}

func anonymousKB(pid int) int64 {
	text, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
	if err != nil {
		return 0
	}
	for lines := bufio.NewScanner(bytes.NewReader(text)); lines.Scan(); {
		if rest, found := strings.CutPrefix(lines.Text(), "RssAnon:"); found {
			count, _ := strconv.ParseInt(strings.TrimSpace(strings.TrimSuffix(rest, "kB")), 10, 64)
			return count
		}
	}
	return 0
}
