package commands

import (
	"context"
	"fmt"
	"os"
	"strings"

	"connectrpc.com/connect"
	"github.com/google/uuid"
	"github.com/rotisserie/eris"
	"github.com/urfave/cli/v3"

	"flamingoreach/io/operator/operatorv1"
)

func patchCommand() *cli.Command {
	return &cli.Command{
		Name: "patch", Usage: "propose the version after a base version; exits with 3 if it is outdated or refused", ArgsUsage: "FILE",
		Flags: []cli.Flag{
			&cli.Uint64Flag{Name: "base", Usage: "the `VERSION` that the file is based on", Required: true},
			&cli.StringFlag{Name: "id", Usage: "the `ID` of the patch, to ask again for its result"},
		},
		Action: patchConfig,
	}
}

// patchAnswer is what "config patch --json" prints.
type patchAnswer struct {
	Result  string        `json:"result"`
	Version uint64        `json:"version,omitempty"`
	ID      string        `json:"id"`
	Details []string      `json:"details,omitempty"`
	Changes []patchChange `json:"changes,omitempty"`
}

type patchChange struct {
	Field string `json:"field"`
	Old   string `json:"old"`
	New   string `json:"new"`
}

var resultNames = map[operatorv1.Result]string{
	operatorv1.Result_RESULT_ACCEPTED: "accepted", operatorv1.Result_RESULT_OUTDATED: "outdated",
	operatorv1.Result_RESULT_INVALID: "invalid", operatorv1.Result_RESULT_REFUSED: "refused",
	operatorv1.Result_RESULT_UNSPECIFIED: "unknown",
}

func patchConfig(ctx context.Context, cmd *cli.Command) error {
	client, err := operatorClient(cmd)
	if err != nil {
		return err
	}
	text, err := os.ReadFile(cmd.Args().First())
	if err != nil {
		return wrongUsage(eris.Wrap(err, "read patch"))
	}
	id := cmd.String("id")
	if id == "" {
		id = uuid.NewString()
	}
	res, err := client.PatchConfiguration(ctx, connect.NewRequest(&operatorv1.PatchConfigurationRequest{Base: cmd.Uint64("base"), Id: id, Text: text}))
	if err != nil {
		step := "patch configuration"
		if connect.CodeOf(err) != connect.CodeUnauthenticated {
			step += ", with unknown result: ask again with --id " + id
		}
		return callFailed(step, err)
	}
	if err := printPatch(cmd, res.Msg, id); err != nil {
		return err
	}
	return patchError(res.Msg, id)
}

func printPatch(cmd *cli.Command, msg *operatorv1.PatchConfigurationResponse, id string) error {
	if cmd.Bool("json") {
		ans := patchAnswer{Result: resultNames[msg.GetResult()], Version: msg.GetVersion(), ID: id, Details: msg.GetDetails()}
		for _, dif := range msg.GetChanges() {
			ans.Changes = append(ans.Changes, patchChange{Field: dif.GetField(), Old: dif.GetOld(), New: dif.GetNew()})
		}
		return writeJSON(cmd, ans)
	}
	if msg.GetResult() != operatorv1.Result_RESULT_ACCEPTED {
		return nil
	}
	_, err := fmt.Fprintf(cmd.Root().Writer, "accepted: version %d, patch %s\n", msg.GetVersion(), id)
	return eris.Wrap(err, "print result")
}

// patchError returns an error with the exit code and the reason if the patch was not accepted, else nil.
func patchError(msg *operatorv1.PatchConfigurationResponse, id string) error {
	details := strings.Join(msg.GetDetails(), "\n")
	switch msg.GetResult() {
	case operatorv1.Result_RESULT_ACCEPTED:
		return nil
	case operatorv1.Result_RESULT_OUTDATED:
		changed := differences(msg.GetChanges())
		return refused(eris.Errorf("outdated: the current version is %d; changed since the base:\n%s%s", msg.GetVersion(), changed, details))
	case operatorv1.Result_RESULT_INVALID:
		return wrongUsage(eris.Errorf("invalid:\n%s", details))
	case operatorv1.Result_RESULT_REFUSED:
		return refused(eris.Errorf("refused, nothing changed:\n%s", details))
	default:
		return failed(eris.Errorf("unknown: ask again with --id %s\n%s", id, details))
	}
}
