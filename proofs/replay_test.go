package proofs_test

import (
	"bytes"
	"encoding/json"
	"fmt"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"testing"
	"testing/synctest"

	"github.com/stretchr/testify/require"

	"flamingoreach/core/control"
	"flamingoreach/core/traceline"
	"flamingoreach/io/tracefile"
	"flamingoreach/proofs"
)

func readTrace(t *testing.T, name string) []traceline.Line {
	t.Helper()
	text, err := os.ReadFile(filepath.Join("testdata", name+".trace"))
	require.NoError(t, err)
	lines, err := tracefile.Read(bytes.NewReader(text))
	require.NoError(t, err)
	return lines
}

// expectedEffects holds, for each trace, effects that must occur in this order: the name and a part of the data of each.
var expectedEffects = map[string][][2]string{
	"localServerKilled": {
		{"localServer.changed", `"serving"`},
		{"localServer.crash", ""},
		{"localServer.open", ""},
		{"localServer.changed", `"absent"`},
	},
	"keyWithdrawn": {
		{"configuration.fence", "cutOff"},
		{"configuration.publish", `"prepared":1`},
		{"configuration.publish", `{"version":1,"prepared":0,"keyIds":{"bankA":["9d57422a7d8206a7"],"bankB":["d1475d5d405bd400"]}}`},
		{"configuration.publish", `{"version":1,"prepared":2,"keyIds":{"bankB":["d1475d5d405bd400"]}}`},
		{"configuration.publish", `{"version":2,"prepared":0,"keyIds":{"bankB":["d1475d5d405bd400"]}}`},
	},
	"leaderFrozen": {
		{"lease.announce", `"epoch":1`}, {"lease.lost", ""},
	},
	"leaderSucceeded": {
		{"lease.read", ""}, {"lease.write", `"epoch":2`}, {"lease.announce", `"epoch":2`},
	},
}

func TestTracesReplayToExpectedEffects(t *testing.T) {
	for name, expected := range expectedEffects {
		t.Run(name, func(t *testing.T) {
			lines := readTrace(t, name)
			require.Equal(t, traceline.Comment, lines[0].Kind)
			synctest.Test(t, func(t *testing.T) { require.NoError(t, proofs.Replay(lines)) })
			for _, lin := range lines {
				if len(expected) > 0 && lin.Kind == traceline.Effect && lin.Name == expected[0][0] && strings.Contains(string(lin.Data), expected[0][1]) {
					expected = expected[1:]
				}
			}
			require.Empty(t, expected, "effects that are not in the trace")
		})
	}
}

// Guards against a replay that accepts wrong traces: each effect in turn is changed, left out and duplicated, and the
// error of the replay must name that line.
func TestReplayReportsTheChangedLine(t *testing.T) {
	changes := map[string]func(lines []traceline.Line, index int) []traceline.Line{
		"changed": func(lines []traceline.Line, index int) []traceline.Line {
			lines[index].Data = json.RawMessage(`"changed"`)
			return lines
		},
		"left out": func(lines []traceline.Line, index int) []traceline.Line { return slices.Delete(lines, index, index+1) },
		"doubled": func(lines []traceline.Line, index int) []traceline.Line {
			return slices.Insert(lines, index+1, lines[index])
		},
	}
	for name := range expectedEffects {
		lines := readTrace(t, name)
		for kind, change := range changes {
			t.Run(name+" "+kind, func(t *testing.T) {
				for index := range lines {
					if lines[index].Kind == traceline.Effect {
						requireErrorAtLine(t, change(slices.Clone(lines), index), kind, index)
					}
				}
			})
		}
	}
}

// requireErrorAtLine expects the error at the line that was changed, or at the second of two duplicates. A line that was
// left out is found only when the module produces its effect, at that line or within the next tick.
func requireErrorAtLine(t *testing.T, lines []traceline.Line, kind string, index int) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		err := proofs.Replay(lines)
		require.Error(t, err, "%s line %d", kind, index+1)
		var reported int
		_, scanErr := fmt.Sscanf(err.Error(), "trace line %d", &reported)
		require.NoError(t, scanErr)
		require.Positive(t, reported)
		switch kind {
		case "changed":
			require.Equal(t, index+1, reported, "%v", err)
		case "doubled":
			require.Equal(t, index+2, reported, "%v", err)
		default:
			later := lines[min(reported, len(lines))-1].At - lines[min(index, len(lines)-1)].At
			require.GreaterOrEqual(t, reported, min(index+1, len(lines)), "%v", err)
			require.Less(t, later, 2*control.TickInterval, "%v", err)
		}
	})
}

// Each call that ended as "ran" was started once, and none that ended as "notRun" was.
func TestOutcomesInGateTraceAgreeWithStartedCalls(t *testing.T) {
	started := map[string]int{}
	ended := 0
	for _, lin := range readTrace(t, "gate") {
		var decision struct {
			CallID  string `json:"callId"`
			Outcome string `json:"outcome"`
		}
		if lin.Kind != traceline.Traffic {
			continue
		}
		require.NoError(t, json.Unmarshal(lin.Data, &decision))
		if lin.Name == "gate.started" {
			started[decision.CallID]++
			continue
		}
		ended++
		require.Equal(t, map[string]int{"ran": 1, "notRun": 0}[decision.Outcome], started[decision.CallID], decision.CallID)
	}
	require.Positive(t, ended)
}
