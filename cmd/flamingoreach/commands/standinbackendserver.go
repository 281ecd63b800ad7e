package commands

import (
	"context"
	"encoding/json"
	"net/netip"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/rotisserie/eris"
	"github.com/urfave/cli/v3"

	"flamingoreach/io/echo"
	"flamingoreach/io/standinbackendserver"
	"flamingoreach/io/standinbackendserver/behaviour"
)

const (
	defaultStandinSlots       = 90
	defaultStandinQueueLength = 64
	defaultStandinServiceTime = 5 * time.Millisecond
	defaultStandinDrainGrace  = 2 * time.Second
	standinCloseTimeout       = 30 * time.Second
	recordFileMode            = 0o600
)

// standinBackendServerAddress is the JSON line that the command prints when the backend server accepts requests.
type standinBackendServerAddress struct {
	Address netip.AddrPort `json:"address"`
}

// standinBackendServerCommand returns the command that runs a stand-in for a backend server until a signal arrives, then drains it.
func standinBackendServerCommand() *cli.Command {
	return &cli.Command{
		Name:  "backend",
		Usage: "serve a backend server for tests, which announces itself to the node beside it",
		Flags: []cli.Flag{
			&cli.StringFlag{Name: "listen", Value: "127.0.0.1:0", Usage: "loopback IP and port to serve"},
			&cli.StringFlag{Name: "node", Usage: "loopback IP and port of the node beside it; none announces nothing"},
			&cli.StringFlag{Name: "service", Required: true, Usage: "service that it belongs to"},
			&cli.IntFlag{Name: "slots", Value: defaultStandinSlots, Usage: "requests that run at a time"},
			&cli.IntFlag{Name: "queueLength", Value: defaultStandinQueueLength, Usage: "requests that wait for a slot"},
			&cli.DurationFlag{Name: "serviceTime", Value: defaultStandinServiceTime, Usage: "least time of a request"},
			&cli.DurationFlag{Name: "serviceSpread", Usage: "mean of the exponential time added to it"},
			&cli.DurationFlag{Name: "coldTime", Usage: "time after the start in which requests take longer"},
			&cli.FloatFlag{Name: "coldFactor", Value: 1, Usage: "how many times longer"},
			&cli.DurationFlag{Name: "drainGrace", Value: defaultStandinDrainGrace, Usage: "time to accept requests after the announcement was withdrawn"},
			&cli.DurationFlag{Name: "reportLag", Usage: "age of what the health and load endpoints tell"},
			&cli.StringFlag{Name: "recordFile", Usage: "append a JSON line to `FILE` for each request before it runs, which outlasts a kill"},
			&cli.Uint64Flag{Name: "seed", Value: 1, Usage: "seed of the service times"},
		},
		Action: runStandinBackendServer,
	}
}

func runStandinBackendServer(ctx context.Context, cmd *cli.Command) error {
	running, stop := signal.NotifyContext(ctx, syscall.SIGINT, syscall.SIGTERM)
	defer stop()
	bas, address, err := newStandinBackendServer(cmd)
	if err != nil {
		return wrongUsage(err)
	}
	if name := cmd.String("recordFile"); name != "" {
		file, err := os.OpenFile(name, os.O_CREATE|os.O_APPEND|os.O_WRONLY, recordFileMode)
		if err != nil {
			return wrongUsage(eris.Wrap(err, "open record file"))
		}
		defer func() { _ = file.Close() }()
		bas.OnExecution = func(ech echo.Echo) { appendExecution(file, ech) }
	}
	if err := bas.Start(ctx, address); err != nil {
		return failed(err)
	}
	line := standinBackendServerAddress{Address: bas.Address()}
	printErr := json.NewEncoder(cmd.Root().Writer).Encode(line)
	if printErr == nil {
		<-running.Done()
	}
	closing, cancel := context.WithTimeout(context.WithoutCancel(ctx), standinCloseTimeout)
	defer cancel()
	if err := bas.Close(closing); err != nil {
		return failed(err)
	}
	if printErr != nil {
		return failed(eris.Wrap(printErr, "print address"))
	}
	return nil
}

// appendExecution appends one line to the record file. A failure ends the process, since an incomplete record would prove nothing.
func appendExecution(file *os.File, ech echo.Echo) {
	line, err := json.Marshal(ech)
	if err == nil {
		_, err = file.Write(append(line, '\n'))
	}
	if err != nil {
		panic(eris.Wrap(err, "append to record file"))
	}
}

func newStandinBackendServer(cmd *cli.Command) (*standinbackendserver.BackendServer, netip.AddrPort, error) {
	address, err := loopbackAddress(cmd.String("listen"))
	if err != nil {
		return nil, address, eris.Wrap(err, "parse flag listen")
	}
	bas, err := standinbackendserver.New(cmd.String("service"), behaviour.Behaviour{
		Slots:         cmd.Int("slots"),
		QueueLength:   cmd.Int("queueLength"),
		ServiceTime:   cmd.Duration("serviceTime"),
		ServiceSpread: cmd.Duration("serviceSpread"),
		ColdTime:      cmd.Duration("coldTime"),
		ColdFactor:    cmd.Float("coldFactor"),
		DrainGrace:    cmd.Duration("drainGrace"),
		ReportLag:     cmd.Duration("reportLag"),
		Seed:          cmd.Uint64("seed"),
	})
	if err != nil {
		return nil, address, err
	}
	if text := cmd.String("node"); text != "" {
		bas.NodeAddress, err = loopbackAddress(text)
	}
	return bas, address, eris.Wrap(err, "parse flag node")
}

// loopbackAddress parses an address and fails unless it is a loopback address.
func loopbackAddress(text string) (netip.AddrPort, error) {
	address, err := netip.ParseAddrPort(text)
	if err != nil {
		return address, eris.Wrap(err, "parse address")
	}
	if !address.Addr().IsLoopback() {
		return address, eris.Errorf("address %s is not a loopback address", address)
	}
	return address, nil
}
