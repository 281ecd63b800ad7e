package plan

import (
	"net/http"
	"net/netip"
	"strings"

	"flamingoreach/io/load/account"
	"flamingoreach/io/load/kind"
	"flamingoreach/io/tomldocument"
)

// Decode decodes a plan from TOML text; name is the file name in errors. It fails with a *settingserror.Error that lists
// all problems.
func Decode(name string, text []byte) (Plan, error) {
	doc := tomldocument.Parse(name, text)
	var pla Plan
	pla.decodeBounds(doc)
	pla.decodeSurge(doc)
	pla.decodeRetry(doc)
	for _, key := range doc.TableKeys("accounts") {
		pla.Accounts = append(pla.Accounts, decodeAccount(doc, key))
	}
	for _, key := range doc.TableKeys("kinds") {
		pla.Kinds = append(pla.Kinds, decodeKind(doc, key))
	}
	for _, pro := range pla.problems() {
		doc.AddProblem(pro.key, "%s", pro.text)
	}
	if err := doc.Err(); err != nil {
		return Plan{}, err
	}
	return pla, nil
}

func (pla *Plan) decodeBounds(doc *tomldocument.Document) {
	pla.Seed = uint64(doc.Count("seed", 1))
	pla.Targets = doc.Addresses("targets")
	pla.Records = doc.Addresses("records")
	pla.Requests = doc.Count("requests", DefaultRequests)
	pla.Duration = doc.Duration("duration", DefaultDuration)
	pla.Connections = doc.Count("connections", DefaultConnections)
	pla.Deadline = doc.Duration("deadline", DefaultDeadline)
	pla.HTTP2 = doc.Flag("http2", false)
}

func (pla *Plan) decodeSurge(doc *tomldocument.Document) {
	if !doc.Has("surge") {
		return
	}
	pla.Surge.Factor = doc.Number("surge.factor", 1)
	pla.Surge.After = doc.Duration("surge.after", 0)
	pla.Surge.Length = doc.Duration("surge.length", pla.Duration)
}

func (pla *Plan) decodeRetry(doc *tomldocument.Document) {
	pla.Retry.Attempts = doc.Count("retry.attempts", 1)
	pla.Retry.Backoff = doc.Duration("retry.backoff", DefaultBackoff)
	pla.Retry.Jitter = doc.Number("retry.jitter", DefaultJitter)
	pla.Retry.Unconditional = doc.Flag("retry.hard", false)
}

func decodeAccount(doc *tomldocument.Document, key string) account.Account {
	return account.Account{
		Name: doc.RequiredText(key + ".name"),
		Key:  doc.Text(key+".key", ""),
		Rate: doc.Number(key+".rate", 0),

		AllowedRate:  doc.Number(key+".allowedRate", 0),
		AllowedBurst: doc.Number(key+".allowedBurst", 0),
	}
}

func decodeKind(doc *tomldocument.Document, key string) kind.Kind {
	return kind.Kind{
		Name:           doc.RequiredText(key + ".name"),
		Priority:       doc.Text(key+".priority", ""),
		Method:         doc.Text(key+".method", http.MethodGet),
		Path:           doc.RequiredText(key + ".path"),
		BodyBytes:      int(doc.Number(key+".bodyBytes", 0)),
		IdempotencyKey: doc.Flag(key+".idempotencyKey", false),
		Idempotent:     doc.Flag(key+".idempotent", false),
		Weight:         doc.Number(key+".weight", 1),
	}
}

// problem describes a setting that is out of bounds.
type problem struct {
	key  string
	text string
}

// problems returns all settings that are out of bounds.
func (pla *Plan) problems() []problem {
	var all []problem
	add := func(wrong bool, key, text string) {
		if wrong {
			all = append(all, problem{key, text})
		}
	}
	add(len(pla.Targets) == 0, "targets", "names no target")
	add(!allLoopback(pla.Targets), "targets", "only loopback addresses may be loaded")
	add(!allLoopback(pla.Records), "records", "only loopback addresses may be read")
	add(pla.Requests < 1 || pla.Requests > maxRequests, "requests", "out of bounds")
	add(pla.Duration <= 0, "duration", "must be above 0")
	add(pla.Deadline <= 0, "deadline", "must be above 0")
	add(pla.Connections < 1 || pla.Connections > maxConnections, "connections", "out of bounds")
	add(pla.Connections < len(pla.Targets), "connections", "fewer than targets")
	add(pla.Retry.Attempts < 1 || pla.Retry.Attempts > maxAttempts, "retry.attempts", "out of bounds")
	add(pla.Retry.Jitter < 0 || pla.Retry.Jitter > 1, "retry.jitter", "must be from 0 to 1")
	add(pla.Surge.Length > 0 && pla.Surge.Factor <= 0, "surge.factor", "must be above 0")
	rate, weight := 0.0, 0.0
	for _, acc := range pla.Accounts {
		rate += acc.Rate
	}
	for _, kin := range pla.Kinds {
		weight += kin.Weight
		add(kin.BodyBytes < 0 || kin.BodyBytes > maxBodyBytes, "kinds", "bodyBytes of "+kin.Name+" out of bounds")
		add(!strings.HasPrefix(kin.Path, "/"), "kinds", "path of "+kin.Name+" must start with /")
	}
	add(rate <= 0, "accounts", "offer no requests: the sum of their rates must be above 0")
	add(weight <= 0, "kinds", "the sum of their weights must be above 0")
	return all
}

func allLoopback(addrs []netip.AddrPort) bool {
	for _, addr := range addrs {
		if !addr.Addr().IsLoopback() {
			return false
		}
	}
	return true
}
