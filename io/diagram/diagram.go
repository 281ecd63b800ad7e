package diagram

import (
	"fmt"
	"strings"

	"flamingoreach/core/chart"
)

// Mermaid returns the source of a Mermaid stateDiagram-v2 for a chart.
func Mermaid(cha *chart.Chart) string {
	var text strings.Builder
	line := func(format string, values ...any) { _, _ = fmt.Fprintf(&text, format+"\n", values...) }
	line("---")
	line("title: %q", cha.Name+": "+cha.Doc)
	line("---")
	line("stateDiagram-v2")
	line("    [*] --> %s", cha.Initial)
	for _, name := range cha.StateNames() {
		sta := cha.States[name]
		line("    %s: %s", name, labelText(name+" - "+sta.Doc))
		for _, tra := range sta.On {
			label := tra.Event
			if tra.Guard != "" {
				label += " [" + tra.Guard + "]"
			}
			if len(tra.Actions) > 0 {
				label += " / " + strings.Join(tra.Actions, ", ")
			}
			line("    %s --> %s: %s", name, tra.Target, labelText(label))
		}
		if sta.Final {
			line("    %s --> [*]", name)
		}
	}
	return text.String()
}

// labelText replaces the characters that would end a label in Mermaid.
func labelText(text string) string {
	return strings.NewReplacer(":", ",", ";", ",", "\n", " ").Replace(text)
}
