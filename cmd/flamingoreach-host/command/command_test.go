package command_test

import (
	"os"
	"path/filepath"
	"testing"

	"github.com/stretchr/testify/require"

	"flamingoreach/cmd/flamingoreach-host/command"
)

func TestExitCodes(t *testing.T) {
	faulty := filepath.Join(t.TempDir(), "settings.toml")
	require.NoError(t, os.WriteFile(faulty, []byte("[self]\nip = \"nowhere\"\n"), 0o600))
	for name, test := range map[string]struct {
		arguments []string
		code      int
	}{
		"help":            {[]string{"--help"}, 0},
		"faulty settings": {[]string{"check", "--settings", faulty}, 2},
		"node":            {[]string{"node", "--settings", faulty}, 2},
		"no settings":     {[]string{"node", "--settings", "/nonexistent"}, 2},
		"unknown flag":    {[]string{"node", "--unknown"}, 2},
	} {
		t.Run(name, func(t *testing.T) {
			require.Equal(t, test.code, command.Main(append([]string{"flamingoreach-host"}, test.arguments...)))
		})
	}
}
