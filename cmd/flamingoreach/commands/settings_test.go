package commands

import (
	"bytes"
	"context"
	"errors"
	"os"
	"path/filepath"
	"testing"

	"github.com/stretchr/testify/require"
	"github.com/urfave/cli/v3"
)

// runCommand runs a command and returns its exit code and its output.
func runCommand(cmd *cli.Command, args ...string) (int, string) {
	var out bytes.Buffer
	root := &cli.Command{
		Name: "flamingoreach", Commands: []*cli.Command{cmd}, Writer: &out, ErrWriter: &out,
		ExitErrHandler: func(context.Context, *cli.Command, error) {},
	}
	err := root.Run(context.Background(), append([]string{"flamingoreach"}, args...))
	if err == nil {
		return exitOK, out.String()
	}
	var exit cli.ExitCoder
	if errors.As(err, &exit) {
		return exit.ExitCode(), out.String()
	}
	return exitFailed, out.String()
}

func TestSettingsCheckReportsProblemsAsJSON(t *testing.T) {
	file := filepath.Join(t.TempDir(), "node.toml")
	require.NoError(t, os.WriteFile(file, []byte("[node]\nhost = 7\n"), 0o600))
	code, out := runCommand(settingsCommand(), "settings", "check", "--json", file)
	require.Equal(t, exitUsage, code)
	require.Contains(t, out, `{"line":2,"key":"node.host","text":"want a text in quotes"}`)
}

func TestSettingsCheckNeedsReadableFile(t *testing.T) {
	code, _ := runCommand(settingsCommand(), "settings", "check", filepath.Join(t.TempDir(), "absent.toml"))
	require.Equal(t, exitUsage, code)
}

func TestExitCodesAreDistinct(t *testing.T) {
	code := func(err error) int {
		var exit cli.ExitCoder
		require.ErrorAs(t, err, &exit)
		return exit.ExitCode()
	}
	cause := errors.New("cause")
	require.Equal(t, []int{1, 2, 3}, []int{code(failed(cause)), code(wrongUsage(cause)), code(refused(cause))})
}
