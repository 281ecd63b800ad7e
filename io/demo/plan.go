package demo

import (
	"fmt"
	"net/http"
	"strings"
	"time"

	"flamingoreach/core/keyhash"
	"flamingoreach/io/load/account"
	"flamingoreach/io/load/kind"
	"flamingoreach/io/load/plan"
	"flamingoreach/io/load/retrypolicy"
	"flamingoreach/io/load/surge"
	"flamingoreach/io/localfleet/site"
	"flamingoreach/io/standinbackendserver/behaviour"
)

// The times of the phases: start times count from the start of the load.
const (
	surgeAt     = 3 * time.Second
	surgeLength = 3 * time.Second
	withdrawAt  = 9 * time.Second
	// leaveDelay is the time from the accepted withdrawal of the key until a backend server leaves, and loadTail the time
	// from then until the load ends.
	leaveDelay = 2 * time.Second
	loadTail   = 3 * time.Second
	// maxLoadLength is ample for a patch that is accepted as late as it may be.
	maxLoadLength = withdrawAt + patchTimeout + leaveDelay + loadTail + time.Second
	// maxWithdrawnKeyUse is the time after its accepted withdrawal in which a key may still get answers.
	maxWithdrawnKeyUse = 3 * time.Second
)

const (
	surgeFactor = 4
	seed        = 1
	connections = 512
	deadline    = time.Second

	slots         = 4
	queueLength   = 8
	serviceTime   = 50 * time.Millisecond
	serviceSpread = 10 * time.Millisecond
	drainGrace    = 2 * time.Second

	// allowedFraction is the fraction of an account's granted rate and burst within which a refused request counts as
	// wrongfully refused. It is below 1 because requests arrive at nodes a little after their scheduled time; as the delay
	// varies, more of them can arrive together than were scheduled together.
	allowedFraction = 0.9
	patchTimeout    = 10 * time.Second
)

// withdrawnKeyAccount is the name under which the load plan lists the requests of bank-b with the key that is withdrawn.
const withdrawnKeyAccount = "bank-b, key that is withdrawn"

// grantedAccount is a client account with its keys, its granted rate and burst, and the rate that it offers.
type grantedAccount struct {
	name        string
	keys        []string
	rate        float64
	burst       float64
	offeredRate float64
}

var accounts = []grantedAccount{
	{name: "bank-a", keys: []string{"demo-key-of-bank-a"}, rate: 320, burst: 160, offeredRate: 60},
	{name: "bank-b", keys: []string{"demo-key-of-bank-b", "demo-second-key-of-bank-b"}, rate: 360, burst: 180, offeredRate: 60},
	{name: "bank-c", keys: []string{"demo-key-of-bank-c"}, rate: 40, burst: 40, offeredRate: 150},
}

func sites() []site.Site {
	beh := behaviour.Behaviour{
		Slots: slots, QueueLength: queueLength, ServiceTime: serviceTime, ServiceSpread: serviceSpread, DrainGrace: drainGrace,
	}
	var list []site.Site
	for _, place := range []struct{ region, dataCentre string }{{"west", "west-a"}, {"west", "west-b"}, {"east", "east-a"}, {"east", "east-b"}} {
		for _, service := range []string{"quotes", "confirms"} {
			list = append(list, site.Site{Region: place.region, DataCentre: place.dataCentre, Service: service, Behaviour: beh})
		}
	}
	return list
}

const routes = `
[[routes]]
name = "quotes"
service = "quotes"
pathPrefix = "/quotes"
priority = 5
idempotent = true
timeout = "1s"

[[routes]]
name = "confirms"
service = "confirms"
method = "POST"
pathPrefix = "/confirms"
priority = 9
timeout = "1s"
`

// configuration returns the text of a configuration version that leaves out the given key, if it is not empty.
func configuration(without string) []byte {
	text := routes
	for _, acc := range accounts {
		var hashes []string
		for _, key := range acc.keys {
			if key == without {
				continue
			}
			has, _ := keyhash.Of(key).MarshalText()
			hashes = append(hashes, fmt.Sprintf("%q", has))
		}
		text += fmt.Sprintf("\n[[clientAccounts]]\nname = %q\nrate = %g\nburst = %g\nkeys = [%s]\n",
			acc.name, acc.rate, acc.burst, strings.Join(hashes, ", "))
	}
	return []byte(text)
}

func withdrawnKey() string { return accounts[1].keys[1] }

// loadPlan returns the load plan without its targets.
func loadPlan() plan.Plan {
	pla := plan.Plan{
		Seed: seed, Requests: plan.DefaultRequests * 10, Duration: maxLoadLength, Connections: connections, Deadline: deadline,
		Surge: surge.Surge{Factor: surgeFactor, After: surgeAt, Length: surgeLength},
		Retry: retrypolicy.RetryPolicy{Attempts: 1},
		Kinds: []kind.Kind{
			{Name: "quotes", Method: http.MethodGet, Path: "/quotes", Idempotent: true, Weight: 3, Priority: "low"},
			{Name: "confirms", Method: http.MethodPost, Path: "/confirms", BodyBytes: 200, Weight: 1, Priority: "high"},
		},
	}
	for _, acc := range accounts {
		pla.Accounts = append(pla.Accounts, account.Account{
			Name: acc.name, Key: acc.keys[0], Rate: acc.offeredRate,
			AllowedRate: allowedFraction * acc.rate, AllowedBurst: allowedFraction * acc.burst,
		})
	}
	// The requests with the withdrawn key add a tenth to those of bank-b, which its granted rate also covers.
	pla.Accounts = append(pla.Accounts, account.Account{Name: withdrawnKeyAccount, Key: withdrawnKey(), Rate: accounts[1].offeredRate / 10})
	return pla
}
