package measurespage

import (
	"encoding/json"
	"fmt"
	"os"
	"path/filepath"
	"slices"
	"strings"

	"github.com/rotisserie/eris"

	"flamingoreach/measure/ingressrig"
)

// Page holds the results of a measurement. Its exported fields are the contents of measures.json, without the figures
// for each second, which only the plots show.
type Page struct {
	Seed uint64 `json:"seed"`
	// Ingress holds the reports of package ingressrig.
	Ingress []ingressrig.Report `json:"ingress"`
	// Gate and Shares hold the unchanged output of packages gaterig and sharerig.
	Gate   []result `json:"gate"`
	Shares []result `json:"shares"`

	scenarios []ingressrig.Scenario
}

// result is one JSON value of a rig's output. Run is the name of its file without the extension. For the share rig it
// is the settings, the seconds between moves of traffic and the seed, such as polderkruis-0-1.
type result struct {
	Run    string          `json:"run"`
	Figure json.RawMessage `json:"figure"`
}

// Read reads the results in one folder and the scenarios in another; errors contain the file's name.
func Read(results, scenarios string, seed uint64) (*Page, error) {
	pag := &Page{Seed: seed}
	files, err := filepath.Glob(filepath.Join(scenarios, "*.toml"))
	if err != nil {
		return nil, eris.Wrap(err, "list scenarios")
	}
	for _, file := range files {
		sce, err := ingressrig.LoadScenario(os.DirFS(scenarios), filepath.Base(file))
		if err != nil {
			return nil, err
		}
		pag.scenarios = append(pag.scenarios, sce)
	}
	if err := pag.readIngress(results); err != nil {
		return nil, err
	}
	if pag.Gate, err = readRaw(filepath.Join(results, "gate")); err != nil {
		return nil, err
	}
	pag.Shares, err = readRaw(filepath.Join(results, "shares"))
	return pag, err
}

// readIngress reads the reports of package ingressrig in the order of the scenarios, cases and controls.
func (pag *Page) readIngress(results string) error {
	for _, sce := range pag.scenarios {
		for _, cas := range sce.Cases {
			for _, con := range ingressrig.Controls() {
				file := filepath.Join(results, "ingress", strings.Join([]string{sce.Name, cas.Name, con.Name}, "-")+".json")
				text, err := os.ReadFile(file)
				if err != nil {
					return eris.Wrapf(err, "read report %s", file)
				}
				var rep ingressrig.Report
				if err := json.Unmarshal(text, &rep); err != nil {
					return eris.Wrapf(err, "decode report %s", file)
				}
				pag.Ingress = append(pag.Ingress, rep)
			}
		}
	}
	return nil
}

// readRaw reads the JSON values of all files in a folder, in the order of the files' names.
func readRaw(folder string) ([]result, error) {
	files, err := filepath.Glob(filepath.Join(folder, "*.json"))
	if err != nil {
		return nil, eris.Wrapf(err, "list %s", folder)
	}
	slices.Sort(files)
	var values []result
	for _, file := range files {
		text, err := os.ReadFile(file)
		if err != nil {
			return nil, eris.Wrapf(err, "read %s", file)
		}
		dec := json.NewDecoder(strings.NewReader(string(text)))
		for dec.More() {
			var value json.RawMessage
			if err := dec.Decode(&value); err != nil {
				return nil, eris.Wrapf(err, "decode %s", file)
			}
			values = append(values, result{Run: strings.TrimSuffix(filepath.Base(file), ".json"), Figure: value})
		}
	}
	return values, nil
}

// Write writes MEASURES.md, measures.json and the folder measures with the plots to a folder; it fails if one of them
// cannot be written.
func (pag *Page) Write(folder string) error {
	if err := os.WriteFile(filepath.Join(folder, "MEASURES.md"), []byte(pag.markdown()), 0o644); err != nil {
		return eris.Wrap(err, "write page")
	}
	if err := pag.plot(filepath.Join(folder, "measures")); err != nil {
		return err
	}
	brief := *pag
	brief.Ingress = slices.Clone(pag.Ingress)
	for index := range brief.Ingress {
		brief.Ingress[index].Served, brief.Ingress[index].Possible = nil, nil
	}
	text, err := json.MarshalIndent(brief, "", " ")
	if err != nil {
		return eris.Wrap(err, "encode figures")
	}
	return eris.Wrap(os.WriteFile(filepath.Join(folder, "measures.json"), append(text, '\n'), 0o644), "write figures")
}

// reports returns the reports of a case in the order of the controls.
func (pag *Page) reports(scenario, name string) []ingressrig.Report {
	var reports []ingressrig.Report
	for _, rep := range pag.Ingress {
		if rep.Scenario == scenario && rep.Case == name {
			reports = append(reports, rep)
		}
	}
	return reports
}

const intro = `# Measures

Written by ` + "`bash scripts/measure.sh`" + ` with seed %d; do not edit. That a second run with the same seed gives identical bytes was checked for only 8 reports. All figures are of simulated time on one machine, with stand-ins for backend servers, callers and the network.

All figures are in [measures.json](measures.json) too. [measures-gate.md](measures-gate.md) and [measures-shares.md](measures-shares.md) describe how the other two rigs work and what was changed because of their results.

## Ingress nodes and gates of two services

` + "`measure/ingressrig`" + `: four data centres in two regions, each with one host of each service; the first service makes a deeper call to the second for some of its requests. Sizes, callers and cases are in ` + "`measure/ingressrig/testdata`" + `. The trigger, in which the fault or overload of a case applies, lasts one minute. Callers send requests at random times, wait until their timeout, and after any failure retry up to twice, whatever the refusal says.

- Goodput: the number of requests that began during the trigger and got a complete answer without an error, divided by the largest number possible. The largest number possible counts requests of the offered mix up to the capacity, and then requests without a deeper call in the slots that are left.
- Top: the fraction that was served of the requests of the highest priority that began during the trigger.
- Worst account: the lowest ratio, over all accounts, of the requests served to the account's weighted fair share of the largest number possible.
- Recovery: the time from the end of the trigger to the first of three consecutive seconds in each of which the served fraction of the requests is at least 95%% of that before the trigger.
- Unserved within rate: requests within their account's rate that were not served although the capacity allowed it, per million of these requests, over the whole run except its warm-up. This includes more than the refusals by the rate limit, which the share rig measures.
- Executions: the mean number for one request with its retries; then the largest numbers of executions and of deliveries to gates for one root call. A tree of two levels with two extra attempts has the bound 6.

Controls: *none* has no limits and no cancellation, and up to three attempts at each hop; *static* has the announced slots as its limit, a first-in, first-out queue and up to three attempts at each hop; *gatesOnly* has the gates without the admission level, a retry allowance for each hop and no retry budget; *policy* is the whole policy, with all mechanisms.

Targets for the policy: goodput 0.95 under a single fault and 0.85 under a pair of faults; recovery within 5 s; worst account 0.9; unserved within rate 0 without a fault and below 1,000 per million with one; executions and deliveries within 6.
`

func (pag *Page) markdown() string {
	var text strings.Builder
	fmt.Fprintf(&text, intro, pag.Seed)
	for _, sce := range pag.scenarios {
		fmt.Fprintf(&text, "\n### %s\n\n![goodput over time](measures/%s.png)\n\n", sce.Name, sce.Name)
		text.WriteString("| Case | Control | Goodput | Top | Worst account | Recovery | Unserved within rate | Executions | Most executions, deliveries |\n|---|---|---|---|---|---|---|---|---|\n")
		for _, cas := range sce.Cases {
			for _, rep := range pag.reports(sce.Name, cas.Name) {
				fmt.Fprintf(&text, "| %s | %s | %.3f | %.3f | %.3f | %s | %.0f | %.2f | %d, %d |\n", cas.Name, rep.Control, rep.Goodput,
					rep.TopServed, rep.WorstAccount, recovery(rep), rep.UnservedWithinRate, rep.MeanExecutions, rep.MostExecutions, rep.MostDeliveries)
			}
		}
		text.WriteString("\nTargets that the policy misses:\n\n")
		pag.writeMissedTargets(&text, sce)
	}
	pag.writeGateTable(&text)
	pag.writeShareTable(&text)
	return text.String()
}

func (pag *Page) writeMissedTargets(text *strings.Builder, sce ingressrig.Scenario) {
	met := 0
	for _, cas := range sce.Cases {
		for _, rep := range pag.reports(sce.Name, cas.Name) {
			if rep.Control != policyControl {
				continue
			}
			misses := missedTargets(rep, cas.Pair)
			if len(misses) == 0 {
				met++
				continue
			}
			fmt.Fprintf(text, "- %s: %s.\n", cas.Name, strings.Join(misses, "; "))
		}
	}
	fmt.Fprintf(text, "\n%d of %d cases meet all targets.\n", met, len(sce.Cases))
}
