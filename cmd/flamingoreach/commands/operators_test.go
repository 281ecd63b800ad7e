package commands

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/charmbracelet/log"
	"github.com/google/uuid"
	"github.com/stretchr/testify/require"

	"flamingoreach/core/configuration"
	"flamingoreach/core/keyhash"
	"flamingoreach/core/patchresult"
	"flamingoreach/core/view"
	"flamingoreach/io/localfleet"
	"flamingoreach/io/localfleet/site"
	"flamingoreach/io/operator"
	"flamingoreach/io/standinbackendserver/behaviour"
)

const patchText = `
[[routes]]
name = "quotes"
service = "quotes"
pathPrefix = "/quotes"
priority = 5
idempotent = true
timeout = "1s"

[[clientAccounts]]
name = "bank-a"
rate = %d
burst = 10
keys = ["9f86d081884c7d659a2feaa0c55ad015a3bf4f1b2b0b822cd15d6c15b0f00a08"]
`

// runProgram runs a command line and returns its exit code, standard output and standard error.
func runProgram(args ...string) (int, string, string) {
	var out, errOut bytes.Buffer
	code := run(context.Background(), append([]string{"flamingoreach"}, args...), &out, &errOut)
	return code, out.String(), errOut.String()
}

func writeFile(t *testing.T, text string) string {
	t.Helper()
	file := filepath.Join(t.TempDir(), "file")
	require.NoError(t, os.WriteFile(file, []byte(text), 0o600))
	return file
}

func startFleet(t *testing.T) string {
	t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), time.Minute)
	defer cancel()
	beh := behaviour.Behaviour{Slots: 2}
	fle, err := localfleet.Start(ctx, []site.Site{
		{Region: "west", DataCentre: "west-a", Service: "quotes", Behaviour: beh},
		{Region: "west", DataCentre: "west-b", Service: "quotes", Behaviour: beh},
	}, log.New(io.Discard))
	require.NoError(t, err)
	t.Cleanup(func() { require.NoError(t, fle.Close(context.Background())) })
	return fle.Nodes[0].Addresses().Operators.String()
}

// submitUntilAccepted submits a patch, and submits it again with a new ID while the data centres cannot prepare patches yet.
func submitUntilAccepted(t *testing.T, node, base, file string) {
	t.Helper()
	for range 30 {
		code, _, errOut := runProgram("config", "patch", "--node", node, "--base", base, file)
		if code == exitOK {
			return
		}
		require.Contains(t, errOut, "refused, nothing changed")
		require.Equal(t, exitRefused, code)
		time.Sleep(time.Second)
	}
	t.Fatal("no patch was accepted")
}

func TestOperatorsChangeTheConfigurationOfAFleet(t *testing.T) {
	node := startFleet(t)
	first, second := writeFile(t, fmt.Sprintf(patchText, 5)), writeFile(t, fmt.Sprintf(patchText, 7))

	code, _, errOut := runProgram("config", "show", "--node", node, "--version", "1")
	require.Equal(t, exitRefused, code, "there is no version yet: %s", errOut)

	submitUntilAccepted(t, node, "0", first)
	submitUntilAccepted(t, node, "1", second)

	code, _, errOut = runProgram("config", "patch", "--node", node, "--base", "1", first)
	require.Equal(t, exitRefused, code)
	require.Contains(t, errOut, "the current version is 2")
	require.Contains(t, errOut, "~ clientAccount bank-a rate 5 -> 7")

	code, out, errOut := runProgram("config", "patch", "--node", node, "--base", "2", "--json", writeFile(t, "[[routes]]\nname = \"quotes\"\npriority = \"high\"\n"))
	require.Equal(t, exitUsage, code)
	var ans patchAnswer
	require.NoError(t, json.Unmarshal([]byte(out), &ans))
	require.Equal(t, "invalid", ans.Result)
	require.Contains(t, errOut, "line 3: routes[0].priority")

	code, out, _ = runProgram("config", "show", "--node", node, "--version", "1")
	require.Equal(t, exitOK, code)
	require.Contains(t, out, "# version 1")
	require.Contains(t, out, "rate = 5")

	code, out, _ = runProgram("config", "log", "--node", node)
	require.Equal(t, exitOK, code)
	require.Len(t, strings.Split(strings.TrimSpace(out), "\n"), 3)

	code, out, _ = runProgram("config", "log", "--node", node, "--last", "1")
	require.Equal(t, exitOK, code)
	require.Regexp(t, `(?m)^2 `, out)
	require.NotRegexp(t, `(?m)^1 `, out)

	code, out, _ = runProgram("config", "diff", "--node", node, "1", "2")
	require.Equal(t, exitOK, code)
	require.Equal(t, "~ clientAccount bank-a rate 5 -> 7\n", out)

	code, out, _ = runProgram("config", "status", "--node", node)
	require.Equal(t, exitOK, code)
	require.Contains(t, out, "west-a")
	require.Contains(t, out, "west-b")

	code, out, _ = runProgram("status", "--node", node, "--json")
	require.Equal(t, exitOK, code)
	var status struct {
		Node struct{ Leaders []struct{ DataCentre string } }
	}
	require.NoError(t, json.Unmarshal([]byte(out), &status))
	require.NotEmpty(t, status.Node.Leaders)

	code, _, errOut = runProgram("config", "out", "--node", node, "nowhere")
	require.Equal(t, exitRefused, code, errOut)
	code, _, errOut = runProgram("config", "out", "--node", node, "west-b")
	require.Equal(t, exitOK, code, errOut)
}

func startServer(t *testing.T, ser *operator.Server) string {
	t.Helper()
	ser.Metrics = http.NotFoundHandler()
	server := httptest.NewServer(ser.Handler())
	t.Cleanup(server.Close)
	return server.Listener.Addr().String()
}

func TestOperatorWithoutKnownTokenIsRefusedAndLogged(t *testing.T) {
	var logs bytes.Buffer
	node := startServer(t, &operator.Server{
		View: func() *view.View { return &view.View{} }, Log: log.New(&logs),
		TokenHashes: []keyhash.Hash{keyhash.Of("known-token")},
	})
	t.Setenv(tokenVariable, "")
	for _, args := range [][]string{{"--node", node}, {"--node", node, "--tokenFile", writeFile(t, "wrong-token\n")}} {
		logs.Reset()
		code, _, errOut := runProgram(append([]string{"config", "show"}, args...)...)
		require.Equal(t, exitRefused, code, errOut)
		require.Contains(t, logs.String(), "operator refused")
		require.NotContains(t, logs.String(), "wrong-token")
	}
	// With the token the call reaches the node, which has no configuration.
	for _, setToken := range []func() []string{
		func() []string { return []string{"--tokenFile", writeFile(t, "known-token\n")} },
		func() []string { t.Setenv(tokenVariable, "known-token"); return nil },
	} {
		logs.Reset()
		code, _, errOut := runProgram(append([]string{"config", "show", "--node", node}, setToken()...)...)
		require.Equal(t, exitRefused, code)
		require.Contains(t, errOut, "no configuration is known")
		require.Contains(t, logs.String(), keyhash.Of("known-token").ID())
		require.NotContains(t, logs.String(), "known-token")
	}
	code, _, _ := runProgram("config", "show", "--node", node, "--tokenFile", "/nowhere/token")
	require.Equal(t, exitUsage, code)
}

func TestResultOfPatchDecidesTheExitCode(t *testing.T) {
	id := uuid.NewString()
	answers := map[int]patchresult.Result{
		exitOK:      {Kind: patchresult.Accepted, Version: 4},
		exitRefused: {Kind: patchresult.Refused, Unreachable: []string{"east-a"}},
		exitFailed:  {Kind: patchresult.Unknown},
	}
	texts := map[int]string{exitRefused: "data centre east-a did not prepare", exitFailed: "--id " + id}
	file := writeFile(t, fmt.Sprintf(patchText, 5))
	for want, res := range answers {
		node := startServer(t, &operator.Server{
			Log: log.New(io.Discard),
			Patch: func(context.Context, uuid.UUID, uint64, configuration.Configuration) (patchresult.Result, error) {
				return res, nil
			},
		})
		code, _, errOut := runProgram("config", "patch", "--node", node, "--base", "3", "--id", id, file)
		require.Equal(t, want, code)
		require.Contains(t, errOut, texts[want])
	}
	code, _, errOut := runProgram("config", "patch", "--node", "127.0.0.1:1", "--base", "3", "--id", id, file)
	require.Equal(t, exitFailed, code)
	require.Contains(t, errOut, "--id "+id)
	for _, args := range [][]string{
		{"config", "patch", "--base", "3", "/nowhere"},
		{"config", "patch", file},
		{"config", "diff", "1"},
		{"config", "out"},
		{"charts", "nothing"},
		{"status", "--node", "nowhere"},
	} {
		code, _, _ := runProgram(args...)
		require.Equal(t, exitUsage, code, args)
	}
}
