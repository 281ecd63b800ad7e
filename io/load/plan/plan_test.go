package plan

import (
	"os"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"flamingoreach/io/settingserror"
)

const validPlan = `seed = 7
targets = ["127.0.0.1:8080"]
duration = "2s"
[surge]
factor = 3
after = "500ms"
length = "1s"
[[accounts]]
name = "bank-a"
key = "a"
rate = 100
[[accounts]]
name = "bank-b"
rate = 2.5
[[kinds]]
name = "confirm"
priority = "high"
method = "POST"
path = "/confirms"
bodyBytes = 200
idempotencyKey = true
`

func TestDecodeReadsLists(t *testing.T) {
	pla, err := Decode("plan.toml", []byte(validPlan))
	require.NoError(t, err)
	require.Len(t, pla.Accounts, 2)
	require.InDelta(t, 2.5, pla.Accounts[1].Rate, 0)
	require.Equal(t, "high", pla.Kinds[0].Priority)
	require.Equal(t, time.Second, pla.Surge.Length)
	require.Equal(t, DefaultDeadline, pla.Deadline)
}

func TestDecodeReportsProblemsInsideLists(t *testing.T) {
	_, err := Decode("plan.toml", []byte(validPlan+`colour = "pink"
[[kinds]]
name = 3
path = "/x"
`))
	var list *settingserror.Error
	require.ErrorAs(t, err, &list)
	found := map[string]int{}
	for _, pro := range list.Problems {
		found[pro.Key] = pro.Line
	}
	require.Equal(t, map[string]int{"kinds[0].colour": 22, "kinds[1].name": 24}, found)
}

func TestOnlyLoopbackTargetsAreAllowed(t *testing.T) {
	pla, err := Decode("plan.toml", []byte(validPlan))
	require.NoError(t, err)
	require.NoError(t, pla.Check())
	_, err = Decode("plan.toml", []byte("targets = [\"10.0.0.1:80\"]\n"+validPlan[len("seed = 7\ntargets = [\"127.0.0.1:8080\"]\n"):]))
	require.ErrorContains(t, err, "only loopback")
}

func TestOperatorsPageShowsUsablePlan(t *testing.T) {
	page, err := os.ReadFile("../../../docs/operating/load.md")
	require.NoError(t, err)
	_, rest, found := strings.Cut(string(page), "```toml\n")
	require.True(t, found)
	example, _, _ := strings.Cut(rest, "```")
	_, err = Decode("load.md", []byte(example))
	require.NoError(t, err)
}

func FuzzDecode(f *testing.F) {
	f.Add([]byte(validPlan))
	f.Add([]byte("targets = [\"[::1]:1\"]\naccounts = [{name = \"a\", rate = 1e300}]\n[[kinds]]\npath = \"/\"\nbodyBytes = 1e18\n"))
	f.Fuzz(func(t *testing.T, text []byte) {
		pla, err := Decode("fuzz", text)
		if err != nil {
			return
		}
		require.NoError(t, pla.Check())
		for _, target := range pla.Targets {
			require.True(t, target.Addr().IsLoopback())
		}
		require.LessOrEqual(t, pla.Kinds[0].BodyBytes, maxBodyBytes)
	})
}
