// Soak runs node processes under random faults and prints the guarantees that were violated.
package main

import (
	"context"
	"fmt"
	"math/rand/v2"
	"os"
	"os/signal"
	"sync"
	"syscall"
	"time"

	"github.com/urfave/cli/v3"

	"flamingoreach/soak"
)

const (
	exitViolations = 1
	exitError      = 2
)

func main() { os.Exit(run()) }

// run returns the exit code.
func run() int {
	failed := 0
	cmd := &cli.Command{
		Name:  "soak",
		Usage: "run flamingoreach-host under random faults on loopback",
		Flags: []cli.Flag{
			&cli.StringFlag{Name: "program", Usage: "the node's `FILE`", Required: true},
			&cli.Uint64Flag{Name: "seed", Usage: "the first seed; 0 draws one"},
			&cli.IntFlag{Name: "seeds", Usage: "the number of seeds", Value: 1},
			&cli.IntFlag{Name: "at-a-time", Usage: "the number of seeds that run at a time", Value: 1},
			&cli.IntFlag{Name: "hosts", Usage: "the number of hosts of each seed", Value: 6},
			&cli.DurationFlag{Name: "span", Usage: "the time in which faults begin", Value: 10 * time.Second},
		},
		Action: func(ctx context.Context, cmd *cli.Command) error {
			failed = runSeeds(ctx, cmd)
			return nil
		},
	}
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	if err := cmd.Run(ctx, os.Args); err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitError
	}
	if failed > 0 {
		return exitViolations
	}
	return 0
}

// runSeeds runs all seeds and returns the number of those that failed or violated a guarantee.
func runSeeds(ctx context.Context, cmd *cli.Command) int {
	first := cmd.Uint64("seed")
	if first == 0 {
		first = rand.Uint64N(1 << 32)
	}
	var mut sync.Mutex
	failed := 0
	seeds := make(chan uint64)
	var workers sync.WaitGroup
	for number := range cmd.Int("at-a-time") {
		workers.Go(func() {
			for seed := range seeds {
				text, ok := runSeed(ctx, cmd, seed, number)
				mut.Lock()
				fmt.Print(text)
				if !ok {
					failed++
				}
				mut.Unlock()
			}
		})
	}
	for index := range cmd.Int("seeds") {
		if ctx.Err() == nil {
			seeds <- first + uint64(index)
		}
	}
	close(seeds)
	workers.Wait()
	fmt.Printf("%d of %d seeds violated a guarantee or failed\n", failed, cmd.Int("seeds"))
	return failed
}

// runSeed returns the report of one run and whether it violated no guarantee. It keeps the logs if one was violated.
func runSeed(ctx context.Context, cmd *cli.Command, seed uint64, number int) (text string, ok bool) {
	folder, err := os.MkdirTemp("", "soak")
	if err != nil {
		return fmt.Sprintf("seed %d: %v\n", seed, err), false
	}
	res, err := soak.Run(ctx, soak.Plan{
		Program: cmd.String("program"), Folder: folder, Seed: seed, Number: number, Hosts: cmd.Int("hosts"), Span: cmd.Duration("span"),
	})
	if err != nil {
		return fmt.Sprintf("seed %d: %v\n", seed, err), false
	}
	text = fmt.Sprintf("seed %d: %d requests, %d faults, %d violations\n", seed, res.Requests, len(res.Faults), len(res.Violations))
	if len(res.Violations) == 0 {
		return text, os.RemoveAll(folder) == nil
	}
	for _, vio := range res.Violations {
		text += "  " + vio.String() + "\n"
	}
	for _, fau := range res.Faults {
		text += "  " + fau + "\n"
	}
	return text + "  logs: " + folder + "\n", false
}
