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
	"sync/atomic"
	"syscall"
	"time"
)

const (
	memoryInterval = 5 * time.Millisecond
	kbPerMB        = 1 << 10
	probeTimeout   = time.Second
)

// Host is a node process with its backend server.
type Host struct {
	Upstream        *Upstream
	Outbound, Ready netip.AddrPort

	name, folder, program string
	settings              Settings
	record                *Record
	cmd                   *exec.Cmd
	ended                 chan struct{}
	peakKB                atomic.Int64
	overLimit             atomic.Bool
	ending                atomic.Bool
}

// Start starts the node with the command of the deploy file. The platform's bound on its memory is enforced: a process that
// exceeds it is killed.
func (hos *Host) Start() error {
	log, err := os.OpenFile(filepath.Join(hos.folder, hos.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, fileMode)
	if err != nil {
		return err
	}
	hos.cmd = exec.CommandContext(context.Background(), hos.program, "node")
	hos.cmd.Env = append(os.Environ(), "FLAMINGOREACH_SETTINGS="+hos.settingsFile())
	hos.cmd.Stdout, hos.cmd.Stderr = log, log
	hos.cmd.SysProcAttr = &syscall.SysProcAttr{Setpgid: true}
	if err := hos.cmd.Start(); err != nil {
		return err
	}
	ended := make(chan struct{})
	hos.ended = ended
	hos.record.Write("node started", "host", hos.name, "process", hos.cmd.Process.Pid, "outbound", hos.Outbound, "memoryMb", hos.settings.MemoryMB)
	go hos.watchMemory(hos.cmd.Process, ended)
	go func() {
		err := hos.cmd.Wait()
		_ = log.Close()
		if !hos.ending.Load() {
			hos.record.Write("node ended", "host", hos.name, "error", fmt.Sprint(err), "overMemory", hos.overLimit.Load(), "peakMb", hos.PeakMB())
		}
		close(ended)
	}()
	return nil
}

// Signal sends a signal to the node.
func (hos *Host) Signal(sig syscall.Signal) {
	hos.record.Write("signal", "host", hos.name, "signal", sig)
	_ = hos.cmd.Process.Signal(sig)
}

// Ended returns a channel that is closed when the node has ended.
func (hos *Host) Ended() <-chan struct{} { return hos.ended }

// Alive reports whether the node runs.
func (hos *Host) Alive() bool {
	select {
	case <-hos.ended:
		return false
	default:
		return true
	}
}

// Kill kills the node and waits for its end.
func (hos *Host) Kill() {
	if hos.cmd == nil || hos.cmd.Process == nil {
		return
	}
	hos.ending.Store(true)
	_ = hos.cmd.Process.Kill()
	<-hos.ended
}

// OverMemory reports whether the node was killed because it exceeded its memory.
func (hos *Host) OverMemory() bool { return hos.overLimit.Load() }

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
		if used > int64(hos.settings.MemoryMB)*kbPerMB && !hos.overLimit.Swap(true) {
			hos.record.Write("memory exceeded", "host", hos.name, "usedMb", used/kbPerMB, "boundMb", hos.settings.MemoryMB)
			_ = process.Kill()
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
