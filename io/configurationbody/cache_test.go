package configurationbody_test

import (
	"bytes"
	"errors"
	"testing"

	"github.com/stretchr/testify/require"

	"flamingoreach/core/versionid"
	"flamingoreach/io/configurationbody"
)

func TestEachVersionIsEncodedOnce(t *testing.T) {
	var cac configurationbody.Cache
	text := bytes.Repeat([]byte("pathPrefix = \"/quotes\"\n"), 770)
	encoded := 0
	encode := func() ([]byte, error) { encoded++; return text, nil }
	for range 3 {
		compressed, err := cac.Compressed(versionid.VersionID{Version: 1, PatchID: "p"}, encode)
		require.NoError(t, err)
		require.Less(t, len(compressed), len(text)/10)
		decompressed, err := configurationbody.Decompress(compressed, len(text))
		require.NoError(t, err)
		require.Equal(t, text, decompressed)
	}
	require.Equal(t, 1, encoded)
	_, err := cac.Compressed(versionid.VersionID{Version: 1, PatchID: "q"}, func() ([]byte, error) { return nil, errors.New("no body") })
	require.Error(t, err, "a version of the same number from another patch has another text")
}

func TestDecompressFailsOnCorruptedOrTooLongText(t *testing.T) {
	var cac configurationbody.Cache
	compressed, err := cac.Compressed(versionid.VersionID{Version: 1}, func() ([]byte, error) { return make([]byte, 1<<20), nil })
	require.NoError(t, err)
	_, err = configurationbody.Decompress(compressed, 1<<20-1)
	require.Error(t, err)
	_, err = configurationbody.Decompress(compressed[:len(compressed)/2], 1<<20)
	require.Error(t, err)
}
