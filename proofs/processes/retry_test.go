package processes_test

import (
	"context"
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/google/uuid"
	"github.com/stretchr/testify/require"
)

const (
	retryCallers = 8
	retryTime    = 12 * time.Second
	retryPause   = 50 * time.Millisecond
	maxAttempts  = 40
	minSucceeded = 50
)

// callHistory holds the replies that a caller got to the calls with one idempotency key.
type callHistory struct {
	replies []reply
	key     string
}

// Guards against retries that run a call twice: callers retry calls with the same idempotency key at other nodes, while
// backend servers and nodes are killed.
func TestRetriedCallsRunAtMostOnce(t *testing.T) {
	fix := startFleet(t, unlimitedAccount("bankA", keyA))
	ctx, stop := context.WithTimeout(context.Background(), retryTime)
	defer stop()
	histories := make(chan []callHistory, retryCallers)
	for number := range retryCallers {
		go func() { histories <- fix.sendWithRetries(ctx, number) }()
	}
	fix.killInTurn(ctx)
	executions := fix.countExecutions()
	succeeded, keys := 0, 0
	for range retryCallers {
		for _, his := range <-histories {
			keys++
			succeeded += fix.checkHistory(his, executions)
		}
	}
	t.Logf("%d keys, %d succeeded, %d executions", keys, succeeded, len(executions.calls))
	require.Greater(t, succeeded, minSucceeded, "too few calls succeeded to test retries")
}

// killInTurn kills the backend server of a random site, half of the time with its node, and starts them again, until the
// context ends.
func (fix fixture) killInTurn(ctx context.Context) {
	random := rand.New(rand.NewPCG(1, 1))
	for ctx.Err() == nil {
		sit := fix.Sites[random.IntN(len(fix.Sites))]
		sit.Backend.Kill()
		if random.IntN(2) == 0 {
			sit.Node.Kill()
			require.NoError(fix.t, fix.StartNode(timeoutContext(fix.t, startTimeout), sit))
		}
		require.NoError(fix.t, fix.StartBackend(timeoutContext(fix.t, startTimeout), sit))
		select {
		case <-ctx.Done():
		case <-time.After(time.Second):
		}
	}
}

// sendWithRetries sends calls one after the other until the context ends. It sends each call to one node after another,
// until it succeeds, its key owner is lost (homeLost) or maxAttempts is reached.
func (fix fixture) sendWithRetries(ctx context.Context, number int) []callHistory {
	var histories []callHistory
	var clients []*client
	for _, sit := range fix.Sites {
		clients = append(clients, newClient(fix.t, sit.Addresses.Callers))
	}
	for ctx.Err() == nil {
		his := callHistory{key: uuid.Must(uuid.NewV7()).String()}
		for attempt := 0; attempt < maxAttempts && ctx.Err() == nil; attempt++ {
			rep := clients[(number+attempt)%len(clients)].call(keyA, "/confirms?sleep=20ms", his.key)
			his.replies = append(his.replies, rep)
			if rep.succeeded() || rep.reason == "homeLost" {
				break
			}
			time.Sleep(retryPause)
		}
		histories = append(histories, his)
	}
	return histories
}

// executions counts the executions on all backend servers by the idempotency key and by the call ID.
type executions struct {
	keys  map[string]int
	calls map[string]int
}

func (fix fixture) countExecutions() executions {
	fix.t.Helper()
	all, err := fix.Executions()
	require.NoError(fix.t, err)
	exe := executions{keys: map[string]int{}, calls: map[string]int{}}
	for _, ech := range all {
		exe.keys[ech.RequestID]++
		exe.calls[ech.CallID]++
	}
	return exe
}

// checkHistory reports a key that ran twice and a call that ran although it was answered notRun. It returns 1 if a call
// with the key succeeded.
func (fix fixture) checkHistory(his callHistory, exe executions) int {
	fix.t.Helper()
	if exe.keys[his.key] > 1 {
		fix.t.Errorf("key %s ran %d times: %s", his.key, exe.keys[his.key], describe(his.replies))
	}
	succeeded := 0
	for _, rep := range his.replies {
		if rep.outcome == "notRun" && exe.calls[rep.callID] > 0 {
			fix.t.Errorf("call %s of key %s ran and was answered notRun: %s", rep.callID, his.key, describe(his.replies))
		}
		if rep.succeeded() {
			succeeded = 1
		}
	}
	return succeeded
}

func describe(replies []reply) string {
	text := ""
	for _, rep := range replies {
		text += fmt.Sprintf("%d %s %s %v; ", rep.status, rep.outcome, rep.reason, rep.err)
	}
	return text
}
