package commands

import (
	"bytes"
	"encoding/json"
	"testing"

	"github.com/stretchr/testify/require"

	"flamingoreach/core/keyhash"
)

func TestKeyNewPrintsANewKeyWithItsHash(t *testing.T) {
	seen := map[string]bool{}
	for range 3 {
		var out bytes.Buffer
		app := keyCommand()
		app.Writer = &out
		require.NoError(t, app.Run(t.Context(), []string{"key", "new", "--json"}))
		var have newKey
		require.NoError(t, json.Unmarshal(out.Bytes(), &have))
		require.Len(t, have.Key, 43)
		require.Equal(t, keyhash.Of(have.Key), have.Hash)
		require.Equal(t, have.Hash.ID(), have.ID)
		require.False(t, seen[have.Key])
		seen[have.Key] = true
	}
}
