package diagram

import (
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"flamingoreach/charts"
)

func TestMermaidShowsEveryTransition(t *testing.T) {
	for _, name := range charts.Names() {
		cha := charts.MustLoad(name)
		text := Mermaid(cha)
		arrows := 1
		for _, sta := range cha.States {
			arrows += len(sta.On)
			if sta.Final {
				arrows++
			}
		}
		require.Equal(t, arrows, strings.Count(text, "-->"), name)
		require.Contains(t, text, "[*] --> "+cha.Initial)
		for line := range strings.Lines(text) {
			_, label, found := strings.Cut(line, ": ")
			require.False(t, found && strings.HasPrefix(line, "    ") && strings.ContainsAny(label, ":;"), line)
		}
	}
}
