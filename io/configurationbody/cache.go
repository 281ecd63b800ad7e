package configurationbody

import (
	"bytes"
	"compress/flate"
	"io"
	"sync"

	"github.com/rotisserie/eris"

	"flamingoreach/core/versionid"
)

// Cache keeps the compressed text of the configuration version that was requested last. It is safe for concurrent use.
type Cache struct {
	mutex      sync.Mutex
	id         versionid.VersionID
	compressed []byte
}

// Compressed returns the compressed text of a version. It calls encode only if the version is not cached, and fails with
// the error of encode.
func (cac *Cache) Compressed(vid versionid.VersionID, encode func() ([]byte, error)) ([]byte, error) {
	cac.mutex.Lock()
	defer cac.mutex.Unlock()
	if cac.compressed != nil && cac.id.Same(vid) {
		return cac.compressed, nil
	}
	text, err := encode()
	if err != nil {
		return nil, err
	}
	compressed, err := compress(text)
	if err != nil {
		return nil, err
	}
	cac.id, cac.compressed = vid, compressed
	return compressed, nil
}

func compress(text []byte) ([]byte, error) {
	var out bytes.Buffer
	wri, err := flate.NewWriter(&out, flate.DefaultCompression)
	if err != nil {
		return nil, eris.Wrap(err, "compress configuration")
	}
	if _, err := wri.Write(text); err != nil {
		return nil, eris.Wrap(err, "compress configuration")
	}
	if err := wri.Close(); err != nil {
		return nil, eris.Wrap(err, "compress configuration")
	}
	return out.Bytes(), nil
}

// Decompress returns the text that was compressed. It fails if the input is corrupted or the text has more than limit
// bytes.
func Decompress(compressed []byte, limit int) ([]byte, error) {
	text, err := io.ReadAll(io.LimitReader(flate.NewReader(bytes.NewReader(compressed)), int64(limit)+1))
	if err != nil {
		return nil, eris.Wrap(err, "decompress configuration")
	}
	if len(text) > limit {
		return nil, eris.Errorf("decompress configuration: text exceeds %d bytes", limit)
	}
	return text, nil
}
