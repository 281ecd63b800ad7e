package commands

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"

	"github.com/rotisserie/eris"
	"github.com/urfave/cli/v3"

	"flamingoreach/io/settingserror"
	"flamingoreach/io/settingsfile"
	"flamingoreach/io/settingsproblem"
)

func settingsCommand() *cli.Command {
	return &cli.Command{
		Name:  "settings",
		Usage: "work on the settings of a node",
		Commands: []*cli.Command{{
			Name:      "check",
			Usage:     "report all faults of a settings file; exits with 2 if there are any",
			ArgsUsage: "FILE",
			Flags:     []cli.Flag{&cli.BoolFlag{Name: "json", Usage: "write the result as JSON to standard output"}},
			Action:    checkSettings,
		}},
	}
}

func checkSettings(_ context.Context, cmd *cli.Command) error {
	if cmd.Args().Len() != 1 {
		return wrongUsage(eris.New("settings check: want one file"))
	}
	file := cmd.Args().First()
	_, err := settingsfile.Read(file)
	if cmd.Bool("json") {
		if encodeErr := writeProblems(cmd.Root().Writer, file, err); encodeErr != nil {
			return failed(encodeErr)
		}
	}
	if err != nil {
		return wrongUsage(err)
	}
	return nil
}

func writeProblems(wri io.Writer, file string, err error) error {
	report := settingserror.Error{File: file, Problems: []settingsproblem.Problem{}}
	var list *settingserror.Error
	if errors.As(err, &list) {
		report = *list
	} else if err != nil {
		report.Problems = append(report.Problems, settingsproblem.Problem{Text: err.Error()})
	}
	line, encodeErr := json.Marshal(report)
	if encodeErr != nil {
		return eris.Wrap(encodeErr, "encode problems")
	}
	_, encodeErr = fmt.Fprintln(wri, string(line))
	return eris.Wrap(encodeErr, "write problems")
}
