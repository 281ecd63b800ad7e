package commands

import (
	"testing"

	"github.com/stretchr/testify/require"
)

func TestStandinBackendServerRefusesNonLoopbackAddressesAndZeroSlots(t *testing.T) {
	for _, args := range [][]string{
		{"--listen", "0.0.0.0:0"},
		{"--node", "10.0.0.1:8081"},
		{"--slots", "0"},
	} {
		code, _ := runCommand(standinBackendServerCommand(), append([]string{"backend", "--service", "quotes"}, args...)...)
		require.Equal(t, exitUsage, code, args)
	}
}
