package process

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"os"
	"os/exec"
	"syscall"
	"time"

	"github.com/rotisserie/eris"
)

const pollInterval = 10 * time.Millisecond

// Process is a running program whose output goes to files.
type Process struct {
	name       string
	stdoutFile string
	stderrFile string
	cmd        *exec.Cmd
	ended      chan struct{}
	exitErr    error
}

// Start runs a program with arguments; its standard output goes to FILE.out, its standard error to FILE.err. The
// process runs on after the end of the context. Start fails if the files cannot be created or the program cannot be
// started.
func Start(ctx context.Context, file, program string, arguments ...string) (*Process, error) {
	pro := &Process{name: file, stdoutFile: file + ".out", stderrFile: file + ".err", ended: make(chan struct{})}
	pro.cmd = exec.CommandContext(context.WithoutCancel(ctx), program, arguments...)
	out, err := os.Create(pro.stdoutFile)
	if err != nil {
		return nil, eris.Wrapf(err, "start %s", file)
	}
	errs, err := os.Create(pro.stderrFile)
	if err != nil {
		return nil, eris.Wrapf(err, "start %s", file)
	}
	pro.cmd.Stdout, pro.cmd.Stderr = out, errs
	// The process gets a process group of its own. In the group of a test that runs in the background, the kernel would send
	// SIGHUP to a process that SIGSTOP has stopped, as soon as the shell that started the test ends.
	pro.cmd.SysProcAttr = &syscall.SysProcAttr{Setpgid: true}
	if err := pro.cmd.Start(); err != nil {
		return nil, eris.Wrapf(err, "start %s", file)
	}
	go func() {
		pro.exitErr = pro.cmd.Wait()
		_, _ = out.Close(), errs.Close()
		close(pro.ended)
	}()
	return pro, nil
}

// Signal sends a signal to the process; it does nothing if the process has ended.
func (pro *Process) Signal(sig syscall.Signal) { _ = pro.cmd.Process.Signal(sig) }

// PID returns the process ID.
func (pro *Process) PID() int { return pro.cmd.Process.Pid }

// Ended returns a channel that is closed when the process has ended.
func (pro *Process) Ended() <-chan struct{} { return pro.ended }

// Alive reports whether the process is still running.
func (pro *Process) Alive() bool {
	select {
	case <-pro.ended:
		return false
	default:
		return true
	}
}

// Kill sends SIGKILL and waits until the process has ended.
func (pro *Process) Kill() {
	pro.Signal(syscall.SIGKILL)
	<-pro.ended
}

// Stop sends SIGTERM, on which the process drains, and waits until it has ended. It fails if the process exits with an
// error, or if the context ends first; then the process is killed.
func (pro *Process) Stop(ctx context.Context) error {
	pro.Signal(syscall.SIGTERM)
	select {
	case <-pro.ended:
		return eris.Wrapf(pro.exitErr, "%s", pro.name)
	case <-ctx.Done():
		pro.Kill()
		return eris.Wrapf(ctx.Err(), "stop %s", pro.name)
	}
}

// AwaitLine waits until standard output or standard error contains a JSON line with the field, and decodes that line.
// It fails if the process or the context ends first, or if the line cannot be decoded.
func (pro *Process) AwaitLine(ctx context.Context, field string, value any) error {
	for {
		for _, file := range []string{pro.stdoutFile, pro.stderrFile} {
			if line := findLine(file, field); line != nil {
				return eris.Wrapf(json.Unmarshal(line, value), "decode line of %s", pro.name)
			}
		}
		select {
		case <-pro.ended:
			return eris.Errorf("%s ended before it wrote a line with the field %s: %s", pro.name, field, readLog(pro.stderrFile))
		case <-ctx.Done():
			return eris.Wrapf(ctx.Err(), "wait for a line with the field %s from %s", field, pro.name)
		case <-time.After(pollInterval):
		}
	}
}

// Log returns all that the process has written to standard error.
func (pro *Process) Log() string { return readLog(pro.stderrFile) }

// findLine returns the first JSON line of a file that has the field, or nil.
func findLine(file, field string) []byte {
	text, err := os.ReadFile(file)
	if err != nil {
		return nil
	}
	scanner := bufio.NewScanner(bytes.NewReader(text))
	for scanner.Scan() {
		var fields map[string]json.RawMessage
		if json.Unmarshal(scanner.Bytes(), &fields) == nil && fields[field] != nil {
			return bytes.Clone(scanner.Bytes())
		}
	}
	return nil
}

// readLog returns the text of a file, or the error of reading it.
func readLog(file string) string {
	text, err := os.ReadFile(file)
	if err != nil {
		return err.Error()
	}
	return string(text)
}
