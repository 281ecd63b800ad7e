package main

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"path/filepath"
	"syscall"
	"time"
)

// The exit codes of a case.
const (
	exitHeld = iota
	exitBroken
	exitNotRun
)

// runLimit bounds the run of a case.
const runLimit = 110 * time.Second

// cases maps the name of a case to what plays it. It reports whether the rule was broken, or fails if the case could not
// run.
var cases = map[string]func(ctx context.Context, rec *record, trouble bool) (broken bool, err error){
	"stop":             playStop,
	"followers":        playFollowers,
	"firstStart":       playFirstStart,
	"uploads":          playUploads,
	"lowerLimit":       playLowerLimit,
	"slowReaders":      playSlowReaders,
	"paths":            playPaths,
	"lateFirst":        playLateFirst,
	"lateAfterRestart": playLateAfterRestart,
}

func main() { os.Exit(play(os.Args[1:])) }

// play plays the case that the arguments name and writes its record to the folder that they name.
func play(arguments []string) int {
	if len(arguments) != 2 || cases[arguments[0]] == nil {
		fmt.Fprintln(os.Stderr, "usage: rig CASE FOLDER")
		return exitNotRun
	}
	rec, err := newRecord(filepath.Join(arguments[1], "record.txt"))
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitNotRun
	}
	trouble := os.Getenv("TROUBLE") != "0"
	rec.say("case %s, with the disruption: %t", arguments[0], trouble)
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	ctx, cancel := context.WithTimeout(ctx, runLimit)
	defer cancel()
	broken, err := cases[arguments[0]](ctx, rec, trouble)
	if err == nil {
		err = ctx.Err()
	}
	code := exitHeld
	switch {
	case err != nil:
		rec.say("the case could not run: %v", err)
		code = exitNotRun
	case broken:
		rec.say("the rule was broken")
		code = exitBroken
	default:
		rec.say("the rule held")
	}
	if err := rec.close(); err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitNotRun
	}
	return code
}
