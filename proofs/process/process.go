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
	name   string
	output string
	errors string
	cmd    *exec.Cmd
	ended  chan struct{}
	failed error
}

// Start runs a program with arguments; its output goes to FILE.out and FILE.err.
func Start(ctx context.Context, file, program string, arguments ...string) (*Process, error) {
	pro := &Process{name: file, output: file + ".out", errors: file + ".err", ended: make(chan struct{})}
	pro.cmd = exec.CommandContext(context.WithoutCancel(ctx), program, arguments...)
	out, err := os.Create(pro.output)
	if err != nil {
		return nil, eris.Wrapf(err, "start %s", file)
	}
	errs, err := os.Create(pro.errors)
	if err != nil {
		return nil, eris.Wrapf(err, "start %s", file)
	}
	pro.cmd.Stdout, pro.cmd.Stderr = out, errs
	// In the group of a test that was started in the background, a process that stands still gets SIGHUP from the kernel
	// once the shell that started the test ends.
	pro.cmd.SysProcAttr = &syscall.SysProcAttr{Setpgid: true}
	if err := pro.cmd.Start(); err != nil {
		return nil, eris.Wrapf(err, "start %s", file)
	}
	go func() {
		pro.failed = pro.cmd.Wait()
		_, _ = out.Close(), errs.Close()
		close(pro.ended)
	}()
	return pro, nil
}

// Signal sends a signal to the process; one that has ended is left alone.
func (pro *Process) Signal(sig syscall.Signal) { _ = pro.cmd.Process.Signal(sig) }

// PID returns the number by which the operating system knows the process.
func (pro *Process) PID() int { return pro.cmd.Process.Pid }

// Ended is closed once the process has ended.
func (pro *Process) Ended() <-chan struct{} { return pro.ended }

// Alive reports whether the process has not ended.
func (pro *Process) Alive() bool {
	select {
	case <-pro.ended:
		return false
	default:
		return true
	}
}

// Kill ends the process at once and waits.
func (pro *Process) Kill() {
	pro.Signal(syscall.SIGKILL)
	<-pro.ended
}

// Stop tells the process to drain and waits; it fails if the process reports an error or the context ends first.
func (pro *Process) Stop(ctx context.Context) error {
	pro.Signal(syscall.SIGTERM)
	select {
	case <-pro.ended:
		return eris.Wrapf(pro.failed, "%s", pro.name)
	case <-ctx.Done():
		pro.Kill()
		return eris.Wrapf(ctx.Err(), "stop %s", pro.name)
	}
}

// AwaitLine waits until the output or the errors hold a JSON line with a field and decodes that line.
func (pro *Process) AwaitLine(ctx context.Context, field string, value any) error {
	for {
		for _, file := range []string{pro.output, pro.errors} {
			if line := find(file, field); line != nil {
				return eris.Wrapf(json.Unmarshal(line, value), "decode line of %s", pro.name)
			}
		}
		select {
		case <-pro.ended:
			return eris.Errorf("%s ended without %s: %s", pro.name, field, tail(pro.errors))
		case <-ctx.Done():
			return eris.Wrapf(ctx.Err(), "wait for %s of %s", field, pro.name)
		case <-time.After(pollInterval):
		}
	}
}

// Log returns all that the process wrote to its errors.
func (pro *Process) Log() string { return tail(pro.errors) }

func find(file, field string) []byte {
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

func tail(file string) string {
	text, err := os.ReadFile(file)
	if err != nil {
		return err.Error()
	}
	return string(text)
}
