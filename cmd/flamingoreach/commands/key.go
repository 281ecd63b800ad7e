package commands

import (
	"context"
	"crypto/rand"
	"encoding/base64"
	"fmt"

	"github.com/rotisserie/eris"
	"github.com/urfave/cli/v3"

	"flamingoreach/core/keyhash"
)

const keyBytes = 32

// newKey is what "key new --json" prints.
type newKey struct {
	Key  string       `json:"key"`
	Hash keyhash.Hash `json:"hash"`
	ID   string       `json:"id"`
}

// keyCommand returns the command that generates keys of client accounts and tokens of operators. They are printed and not stored.
func keyCommand() *cli.Command {
	return &cli.Command{
		Name:  "key",
		Usage: "make keys of client accounts and tokens of operators",
		Commands: []*cli.Command{{
			Name:   "new",
			Usage:  "print a new key once, and its hash for the configuration",
			Flags:  []cli.Flag{jsonFlag()},
			Action: printNewKey,
		}},
	}
}

func printNewKey(_ context.Context, cmd *cli.Command) error {
	random := make([]byte, keyBytes)
	if _, err := rand.Read(random); err != nil {
		return failed(eris.Wrap(err, "read random bytes for the key"))
	}
	key := base64.RawURLEncoding.EncodeToString(random)
	has := keyhash.Of(key)
	if cmd.Bool("json") {
		return writeJSON(cmd, newKey{Key: key, Hash: has, ID: has.ID()})
	}
	text, err := has.MarshalText()
	if err != nil {
		return err
	}
	_, err = fmt.Fprintf(cmd.Root().Writer, "key:  %s (shown only now; give it to the caller)\nhash: %s (for keys of the client account)\nid:   %s (as logs and peers name it)\n", key, text, has.ID())
	return err
}
