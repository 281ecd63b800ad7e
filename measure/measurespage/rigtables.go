package measurespage

import (
	"encoding/json"
	"fmt"
	"strings"

	"flamingoreach/measure/gaterig"
	"flamingoreach/measure/shareresult"
)

// perMillion converts fractions to the unit of the targets.
const perMillion = 1e6

// writeGateTable writes the figures of package gaterig.
func (pag *Page) writeGateTable(text *strings.Builder) {
	text.WriteString("\n## One gate\n\n`measure/gaterig`, with the scenarios at full size; goodput, top and worst account are defined as above. Targets: goodput 0.95 and worst account 0.9.\n\n")
	text.WriteString("| Scenario | Case | Control | Goodput | Top | Worst account | Recovery |\n|---|---|---|---|---|---|---|\n")
	for _, raw := range pag.Gate {
		var rep gaterig.Report
		if json.Unmarshal(raw.Figure, &rep) != nil {
			continue
		}
		after := fmt.Sprintf("%d s", rep.Recovery)
		if rep.Recovery < 0 {
			after = "none"
		}
		fmt.Fprintf(text, "| %s | %s | %s | %.3f | %.3f | %.3f | %s |\n", rep.Scenario, rep.Case, rep.Control, rep.Goodput, rep.TopServed, rep.WorstAccount, after)
	}
}

// writeShareTable writes the figures of package sharerig, summed over all seeds.
func (pag *Page) writeShareTable(text *strings.Builder) {
	text.WriteString("\n## Shares\n\n`measure/sharerig`: calls within their account's rate that were refused, summed over the seeds 1 to 8. Targets: 0 per million in steady traffic, 1,000 while the traffic moves between nodes and data centres every 10 s.\n\n")
	text.WriteString("| Settings and seconds between moves (0: steady) | Refused within rate | Per million |\n|---|---|---|\n")
	var names []string
	within, refused := map[string]int{}, map[string]int{}
	for _, raw := range pag.Shares {
		var res shareresult.ShareResult
		if json.Unmarshal(raw.Figure, &res) != nil {
			continue
		}
		name := raw.Run[:strings.LastIndex(raw.Run, "-")]
		if within[name] == 0 {
			names = append(names, name)
		}
		within[name] += res.Within
		refused[name] += res.RefusedWithin
	}
	for _, name := range names {
		fmt.Fprintf(text, "| %s | %d of %d | %.1f |\n", name, refused[name], within[name], float64(refused[name])/float64(within[name])*perMillion)
	}
}
