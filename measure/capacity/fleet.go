package capacity

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"net/netip"
	"time"

	"connectrpc.com/connect"
	"github.com/charmbracelet/log"
	"github.com/google/uuid"
	"github.com/rotisserie/eris"

	"flamingoreach/core/clientaccount"
	"flamingoreach/core/configuration"
	"flamingoreach/core/keyhash"
	"flamingoreach/core/route"
	"flamingoreach/io/configurationfile"
	"flamingoreach/io/localfleet"
	"flamingoreach/io/localfleet/site"
	"flamingoreach/io/operator/operatorv1"
	"flamingoreach/io/operator/operatorv1/operatorv1connect"
	"flamingoreach/io/standinbackendserver/behaviour"
	"flamingoreach/measure/capacity/setup"
)

const (
	// slots is the number of slots that each backend server announces.
	slots = 64
	// accountRate is the rate of each account in calls per second, and its burst in calls.
	accountRate = 2000
)

// sites returns the sites of all nodes. The data centres alternate between two regions; the store is in the first.
func sites(set setup.Setup) []site.Site {
	var all []site.Site
	add := func(dataCentre, count int, later bool) {
		for range count {
			all = append(all, site.Site{
				Region: fmt.Sprint("r", dataCentre%2), DataCentre: fmt.Sprint("d", dataCentre), Service: "s",
				Behaviour: behaviour.Behaviour{Slots: slots}, Deferred: later,
			})
		}
	}
	for dataCentre := range set.DataCentres {
		add(dataCentre, set.Nodes, false)
	}
	add(set.DataCentres, set.JoiningNodes, true)
	return all
}

func startFleet(ctx context.Context, set setup.Setup) (*localfleet.Fleet, error) {
	fle, err := localfleet.Start(ctx, sites(set), log.New(io.Discard))
	if err != nil {
		return nil, err
	}
	if err := patch(ctx, fle, set.Accounts, 1); err != nil {
		_ = fle.Close(context.WithoutCancel(ctx))
		return nil, err
	}
	return fle, nil
}

func apiKey(account int) string { return fmt.Sprintf("key-of-account-%03d-0123456789", account) }

func buildConfiguration(accounts int, version uint64) configuration.Configuration {
	cfg := configuration.Default()
	// The quarantine time makes the text of each version different.
	cfg.QuarantineTime += time.Duration(version) * time.Second
	cfg.Routes = []route.Route{{Name: "r", Service: "s", PathPrefix: "/", Timeout: time.Second}}
	for number := range accounts {
		cfg.Accounts = append(cfg.Accounts, clientaccount.ClientAccount{
			Name: fmt.Sprintf("account-%03d", number), Rate: accountRate, Burst: accountRate, Weight: 1,
			Keys: []keyhash.Hash{keyhash.Of(apiKey(number))},
		})
	}
	return cfg
}

// patch submits the given version and waits until it is in force at all nodes.
func patch(ctx context.Context, fle *localfleet.Fleet, accounts int, version uint64) error {
	if err := submit(ctx, fle.Nodes[0].Addresses().Operators, accounts, version); err != nil {
		return err
	}
	return fle.AwaitServing(ctx, version)
}

// submit sends the given version to a node's operator service until it is accepted. It fails if the node does not
// answer, or if the version is invalid or outdated.
func submit(ctx context.Context, operators netip.AddrPort, accounts int, version uint64) error {
	text, err := configurationfile.Encode(buildConfiguration(accounts, version))
	if err != nil {
		return err
	}
	client := operatorv1connect.NewOperatorServiceClient(http.DefaultClient, "http://"+operators.String())
	req := &operatorv1.PatchConfigurationRequest{Id: uuid.NewString(), Base: version - 1, Text: text}
	for {
		res, err := client.PatchConfiguration(ctx, connect.NewRequest(req))
		if err != nil {
			return eris.Wrap(err, "patch configuration")
		}
		switch res.Msg.GetResult() {
		case operatorv1.Result_RESULT_ACCEPTED:
			return nil
		case operatorv1.Result_RESULT_UNSPECIFIED:
			// The result is not known. Submitting the patch again with the same ID resumes it or returns its result.
		case operatorv1.Result_RESULT_REFUSED:
			// Data centres that have just started cannot prepare yet. A refusal is final for its ID, so a new one is
			// used.
			req.Id = uuid.NewString()
			time.Sleep(time.Second)
		default:
			return eris.Errorf("patch configuration: %v", res.Msg)
		}
	}
}
