package charts

import (
	"embed"

	"flamingoreach/core/chart"
)

//go:embed *.toml
var files embed.FS

// MustLoad loads an embedded chart by its name. It panics if the chart is invalid; the tests of this package load every
// chart.
func MustLoad(name string) *chart.Chart {
	cha, err := chart.Load(files, name+".toml")
	if err != nil {
		panic(err)
	}
	return cha
}

// Names returns the names of all embedded charts in alphabetical order.
func Names() []string {
	entries, err := files.ReadDir(".")
	if err != nil {
		panic(err)
	}
	var names []string
	for _, entry := range entries {
		names = append(names, entry.Name()[:len(entry.Name())-len(".toml")])
	}
	return names
}
