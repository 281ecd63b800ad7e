package linkbudget_test

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"flamingoreach/core/linkbudget"
)

func TestCallsStayWithinTheNodesLinkBudget(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const link, nodes, size = 3_750_000, 8, 20_000
		bud := linkbudget.New(link)
		bud.SetLink(link, nodes)
		sent := 0
		for range 60_000 {
			if bud.Take() {
				bud.RecordSize(size)
				sent += size
			}
			time.Sleep(time.Millisecond)
		}
		allowed := link / 2 / nodes * 60
		require.LessOrEqual(t, sent, allowed+link)
		require.Greater(t, sent, allowed*9/10)
	})
}
