package commands

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
	"net/netip"
	"os"
	"strings"

	"connectrpc.com/connect"
	"github.com/rotisserie/eris"
	"github.com/urfave/cli/v3"
	"google.golang.org/protobuf/encoding/protojson"
	"google.golang.org/protobuf/proto"

	"flamingoreach/io/operator/operatorv1/operatorv1connect"
)

const tokenVariable = "FLAMINGOREACH_OPERATOR_TOKEN"

// operatorFlags returns the flags of all commands that call the operators' API of a node.
func operatorFlags() []cli.Flag {
	return []cli.Flag{
		&cli.StringFlag{Name: "node", Usage: "`ADDRESS` of a node towards operators", Value: "127.0.0.1:8083"},
		&cli.StringFlag{Name: "tokenFile", Usage: "`FILE` with the operator token, in place of the variable " + tokenVariable},
		jsonFlag(),
	}
}

func operatorClient(cmd *cli.Command) (operatorv1connect.OperatorServiceClient, error) {
	address, err := netip.ParseAddrPort(cmd.String("node"))
	if err != nil {
		return nil, wrongUsage(eris.Wrap(err, "read address of node"))
	}
	token := os.Getenv(tokenVariable)
	if file := cmd.String("tokenFile"); file != "" {
		text, err := os.ReadFile(file)
		if err != nil {
			return nil, wrongUsage(eris.Wrap(err, "read operator token"))
		}
		token = strings.TrimSpace(string(text))
	}
	addToken := connect.UnaryInterceptorFunc(func(next connect.UnaryFunc) connect.UnaryFunc {
		return func(ctx context.Context, req connect.AnyRequest) (connect.AnyResponse, error) {
			if token != "" {
				req.Header().Set("Authorization", "Bearer "+token)
			}
			return next(ctx, req)
		}
	})
	return operatorv1connect.NewOperatorServiceClient(http.DefaultClient, "http://"+address.String(), connect.WithInterceptors(addToken)), nil
}

// callFailed returns the error of a command whose call to a node failed. If the node refused the call, the exit code is exitRefused.
func callFailed(step string, err error) error {
	var connectErr *connect.Error
	if errors.As(err, &connectErr) {
		switch connectErr.Code() {
		case connect.CodeUnauthenticated, connect.CodePermissionDenied, connect.CodeNotFound, connect.CodeAborted:
			return refused(eris.Errorf("%s: %s", step, connectErr.Message()))
		}
	}
	return failed(eris.Errorf("%s: %v", step, err))
}

// printAnswer prints a node's answer, as JSON if the flag --json is set, else as returned by text.
func printAnswer(cmd *cli.Command, msg proto.Message, text func() string) error {
	out := ""
	if cmd.Bool("json") {
		enc, err := protojson.Marshal(msg)
		if err != nil {
			return failed(eris.Wrap(err, "encode answer"))
		}
		out = string(enc) + "\n"
	} else {
		out = text()
	}
	if _, err := fmt.Fprint(cmd.Root().Writer, out); err != nil {
		return failed(eris.Wrap(err, "print answer"))
	}
	return nil
}

func jsonFlag() cli.Flag {
	return &cli.BoolFlag{Name: "json", Usage: "write one JSON object to standard output"}
}

func writeJSON(cmd *cli.Command, value any) error {
	if err := json.NewEncoder(cmd.Root().Writer).Encode(value); err != nil {
		return failed(eris.Wrap(err, "print result"))
	}
	return nil
}
