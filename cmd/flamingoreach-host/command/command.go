package command

import (
	"context"
	"fmt"
	"io"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/charmbracelet/log"
	"github.com/rotisserie/eris"
	"github.com/urfave/cli/v3"

	"flamingoreach/io/boundedwriter"
	"flamingoreach/io/hostnode"
	"flamingoreach/io/hostsettings"
	"flamingoreach/io/hostsettings/watch"
	"flamingoreach/io/http1"
	"flamingoreach/platform"
)

// The exit codes.
const (
	exitFailed     = 1
	exitWrongUsage = 2
)

const (
	// maxWaitingLines bounds the log lines that wait to be written.
	maxWaitingLines = 1024
	// bodyBytes bounds the body of a request or an answer: the largest size that the operators allow callers to send.
	bodyBytes = 64 << 20
	// bodyTime bounds the time for reading the body of a request that states no timeout.
	bodyTime = 30 * time.Second
	// backendDialTimeout is ample for connecting to a live process on the same host.
	backendDialTimeout = 500 * time.Millisecond
)

// Main runs the command line and returns the exit code.
func Main(args []string) int {
	// This comes first, because SIGHUP may arrive at any moment and ends a process that has not registered for it.
	reloads := reloadSignals()
	root := &cli.Command{
		Name:  "flamingoreach-host",
		Usage: "the node on the users' platform",
		Commands: []*cli.Command{
			{
				Name: "node", Usage: "run the node beside a backend server until SIGTERM, which drains it",
				Flags:  []cli.Flag{settingsFlag()},
				Action: func(ctx context.Context, cmd *cli.Command) error { return runNode(ctx, cmd, reloads) },
			},
			{
				Name: "check", Usage: "check a settings file and print its faults",
				Flags: []cli.Flag{settingsFlag()}, Action: checkSettings,
			},
		},
		ExitErrHandler: func(context.Context, *cli.Command, error) {},
	}
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	if err := root.Run(ctx, args); err != nil {
		fmt.Fprintln(os.Stderr, err)
		if coded, ok := err.(cli.ExitCoder); ok { //nolint:errorlint // the command line returns its errors unwrapped
			return coded.ExitCode()
		}
		return exitWrongUsage
	}
	return 0
}

// exit returns the error that ends the command with a code, with the error's text but without its stack trace.
func exit(err error, code int) error { return cli.Exit(eris.ToString(err, false), code) }

func settingsFlag() cli.Flag {
	return &cli.StringFlag{Name: "settings", Usage: "settings `FILE` of the platform", Value: platform.SettingsFile()}
}

func checkSettings(_ context.Context, cmd *cli.Command) error {
	if _, err := platform.ReadSettings(cmd.String("settings")); err != nil {
		return exit(err, exitWrongUsage)
	}
	_, err := fmt.Fprintln(cmd.Root().Writer, "the settings are valid")
	return err
}

func runNode(ctx context.Context, cmd *cli.Command, reloads <-chan os.Signal) error {
	set, err := platform.ReadSettings(cmd.String("settings"))
	if err != nil {
		return exit(err, exitWrongUsage)
	}
	lines := boundedwriter.New(os.Stdout, maxWaitingLines)
	writing, stopWriting := context.WithCancel(context.Background())
	written := make(chan error, 1)
	go func() { written <- lines.Run(writing) }()
	err = serve(ctx, cmd.String("settings"), set, lines, reloads)
	stopWriting()
	if writeErr := <-written; err == nil && writeErr != nil {
		err = writeErr
	}
	if err != nil {
		return exit(err, exitFailed)
	}
	return nil
}

// serve connects a node with the clients and handlers for the platform, and runs it until the context ends.
func serve(ctx context.Context, file string, set hostsettings.Settings, lines *boundedwriter.Writer, reloads <-chan os.Signal) error {
	logger := newLogger(lines)
	store := platform.NewStore(set.Store)
	defer store.Close()
	store.OnUnknownKind = func(kind, route string) {
		logger.Warn("unknown kind of route, its requests run at most once", "kind", kind, "firstRoute", route)
	}
	store.OnInvalidService = func(service string, err error) {
		logger.Warn("value of a service ignored", "service", service, "error", err)
	}
	store.OnSkippedRow = func(key string, err error) { logger.Warn("evacuation ignored", "key", key, "error", err) }
	pool := http1.NewPool(backendDialTimeout)
	backend := &platform.BackendServer{
		Pool: pool, BodyBytes: bodyBytes, HealthPath: func() string { return store.HealthPath(set.Service) },
	}
	nod := hostnode.New(set, hostnode.Platform{
		ReadConfiguration: store.ReadConfiguration, FollowConfiguration: store.FollowConfiguration,
		ReadMembers: store.ReadMembers, WriteMember: store.WriteMember, DeleteMember: store.DeleteMember,
		ReadCrashRecords: store.ReadCrashRecords, WriteCrashRecords: store.WriteCrashRecords,
		ReadDeparture: store.ReadDeparture, WriteDeparture: store.WriteDeparture, ProbeBackendServer: backend.Probe,
		RaiseStoreEra: store.RaiseEra,
		Execute:       backend.Execute, Sweep: pool.Sweep, CloseIdle: pool.CloseIdle,
	}, logger)
	pool.Room = nod.Room()
	backend.OnRefused = nod.HandleRefusedConnection
	store.OnEra, store.OnLateAnswer = nod.ReceiveStoreEra, nod.ReceiveLateAnswer
	nod.Metrics().Gauge("log_lines_dropped", func() float64 { return float64(lines.Dropped()) })
	nod.Reload(set)
	watching, stopWatching := context.WithCancel(ctx)
	watched := make(chan error, 1)
	go func() { watched <- watch.File(watching, file, reloads, func() { reload(nod, file, logger) }) }()
	callers := &platform.FrontEnd{
		CallerService: set.Service, BodyBytes: min(bodyBytes, nod.Room().Max()), BodyTime: bodyTime, Bodies: nod.Room(), Serve: nod.Serve,
		OnRefusal: nod.RecordRefusal, OnCut: nod.RecordCut, IsIdempotent: nod.IsIdempotent,
	}
	err := nod.Run(ctx, hostnode.Handlers{
		Callers:     callers,
		MayRunAhead: callers.MayRunAhead,
		Announcements: &platform.AnnouncementHandler{
			Service: set.Service, ReceiveAnnouncement: nod.ReceiveAnnouncement, Deregister: nod.DeregisterBackendServer, OnInvalidHeartbeat: nod.LogInvalidHeartbeat,
			OnIgnoredField: nod.LogIgnoredField,
		},
		Ready: platform.ReadinessHandler(nod.AcceptsCalls),
	})
	stopWatching()
	if watchErr := <-watched; err == nil {
		err = watchErr
	}
	return err
}

// reloadSignals registers for SIGHUP, which says that the settings file has changed, and returns its channel.
func reloadSignals() <-chan os.Signal {
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGHUP)
	return signals
}

// reload applies a changed settings file; if it is invalid, the settings stay as they were.
func reload(nod *hostnode.Node, file string, logger *log.Logger) {
	set, err := platform.ReadSettings(file)
	if err != nil {
		logger.Error("settings not reloaded", "file", file, "error", err)
		return
	}
	nod.Reload(set)
}

// newLogger returns a logger of JSON lines.
func newLogger(wri io.Writer) *log.Logger {
	return log.NewWithOptions(wri, log.Options{Formatter: log.JSONFormatter, ReportTimestamp: true, TimeFormat: time.RFC3339Nano})
}
