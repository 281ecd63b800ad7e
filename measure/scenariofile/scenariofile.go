package scenariofile

import (
	"io/fs"

	"github.com/pelletier/go-toml/v2"
	"github.com/rotisserie/eris"
)

// Load reads a rig's scenario from a TOML file; errors contain the file's name.
func Load[T any](files fs.FS, file string) (T, error) {
	var sce T
	text, err := fs.ReadFile(files, file)
	if err != nil {
		return sce, eris.Wrapf(err, "read scenario %s", file)
	}
	if err := toml.Unmarshal(text, &sce); err != nil {
		return sce, eris.Wrapf(err, "decode scenario %s", file)
	}
	return sce, nil
}
