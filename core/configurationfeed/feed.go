package configurationfeed

import (
	"errors"
	"math/rand/v2"
	"time"

	"flamingoreach/charts"
	"flamingoreach/core/configuration"
	"flamingoreach/core/configurationfeed/reading"
	"flamingoreach/core/evacuation"
	"flamingoreach/core/evacuation/record"
	"flamingoreach/core/machine"
	"flamingoreach/core/storeposition"
)

const (
	// firstPause and longestPause bound the time between two requests to a store that does not answer.
	firstPause   = 200 * time.Millisecond
	longestPause = 1600 * time.Millisecond
)

// Feed follows the configuration; its methods are called on the control thread only.
type Feed struct {
	// Read starts to read the whole configuration; the result goes to HandleAnswer.
	Read func()
	// Check starts a request that the store answers at once with the changes after a revision. Follow starts one that it
	// answers at the next change, or after LongestWait without a change. The results go to HandleAnswer.
	Check       func(revision uint64)
	Follow      func(revision uint64)
	LongestWait time.Duration
	// Follows reports whether this node follows the store itself, rather than rely on other nodes for new versions.
	Follows func() bool
	// Publish is called with each version that comes into force.
	Publish func(cfg *configuration.Configuration, source string)
	// OnUnreachable is called when the store stops answering, OnReachable when it answers again, with the time between
	// the two.
	OnUnreachable func(err error)
	OnReachable   func(after time.Duration)
	// OnEvacuation is called with the evacuated data centres when they are first known and when they have changed. For one
	// answer of the store it is called before Publish.
	OnEvacuation func(eva evacuation.Evacuation, source string)
	// Random returns a number from 0 to 1.
	Random func() float64

	state    string
	revision uint64
	// era is the store's era that gave out the revision. outdated is set once a later one is known: changes after the
	// revision are then not all changes.
	era      uint64
	outdated bool
	// earliestEra is the era from which on the answer to the pending request counts: one that became known since the request
	// was sent.
	earliestEra uint64
	// requests counts the requests. The answer to an earlier one than the latest is dropped.
	requests uint64
	current  *configuration.Configuration
	// evacuations is what is known of the evacuated data centres.
	evacuations *record.Record
	answer      reading.Reading
	err         error
	due         time.Time
	// followedAt is when the pending request of Follow was sent, confirmedAt when the store last answered.
	followedAt, confirmedAt time.Time
	pause                   time.Duration
	unreachableSince        time.Time
}

var chart = machine.MustNew(charts.MustLoad("configurationFeed"),
	[]string{"due", "read", "changed", "failed", "expired", "restored", "late"},
	map[string]func(*Feed) bool{
		"mustRead": func(fee *Feed) bool { return fee.outdated && fee.Follows() },
		"follows":  func(fee *Feed) bool { return fee.Follows() },
		"mayRely":  func(fee *Feed) bool { return fee.current != nil && !fee.Follows() },
	},
	map[string]func(*Feed){
		"read":            (*Feed).read,
		"check":           (*Feed).check,
		"discard":         func(fee *Feed) { fee.requests++ },
		"follow":          (*Feed).follow,
		"acceptAnswer":    (*Feed).acceptAnswer,
		"markReachable":   (*Feed).markReachable,
		"markUnreachable": (*Feed).markUnreachable,
	})

// New returns a feed that knows no version.
func New() *Feed {
	fee := &Feed{state: chart.Initial(), Random: rand.Float64, OnEvacuation: func(evacuation.Evacuation, string) {}, evacuations: record.New()}
	fee.evacuations.OnChange = func(eva evacuation.Evacuation, source string) { fee.OnEvacuation(eva, source) }
	return fee
}

// Version returns the number of the version in force, or 0.
func (fee *Feed) Version() uint64 {
	if fee.current == nil {
		return 0
	}
	return fee.current.Version
}

// Current returns the version in force, or nil.
func (fee *Feed) Current() *configuration.Configuration { return fee.current }

// ConfirmedAt returns the time at which the version in force was known to be the newest in the store, or zero if the store
// has never answered. While a request of Follow is pending that is the present, since the store would have answered,
// unless the answer is overdue.
func (fee *Feed) ConfirmedAt() time.Time {
	if fee.state != "following" {
		return fee.confirmedAt
	}
	now, overdue := time.Now(), fee.followedAt.Add(fee.LongestWait)
	if now.After(overdue) {
		return overdue
	}
	return now
}

// Evacuations returns the latest evacuations that were read from the store, by this node or another one, and false if none
// are known.
func (fee *Feed) Evacuations() (evacuation.Evacuation, bool) { return fee.evacuations.Latest() }

// Tick sends a request to the store when one is due, and ends evacuations of earlier eras of the store.
func (fee *Feed) Tick() {
	fee.evacuations.Tick()
	if !time.Now().Before(fee.due) {
		fee.fire("due")
	}
}

// AnswerHandler returns a function that passes the answer to the latest request to HandleAnswer, unless the feed has
// discarded that request by then.
func (fee *Feed) AnswerHandler() func(answer reading.Reading, err error) {
	request := fee.requests
	return func(answer reading.Reading, err error) {
		if request == fee.requests {
			fee.HandleAnswer(answer, err)
		}
	}
}

// EraRose reports that the store came back from an older copy and gives out revisions again. The feed reads the whole
// configuration again before it follows the store on.
func (fee *Feed) EraRose(era uint64) {
	fee.outdated, fee.earliestEra = true, era
	fee.fire("restored")
}

// HandleAnswer handles the store's answer to the pending request. Changes after a revision of another era are not
// complete; they count as a notice of that era. Evacuations in an answer with an error hold: the configuration beside them
// is invalid.
func (fee *Feed) HandleAnswer(answer reading.Reading, err error) {
	fee.answer, fee.err = answer, err
	fee.recordEvacuations()
	switch {
	case errors.Is(err, reading.ErrHistoryExpired):
		fee.fire("expired")
	case err != nil:
		fee.fire("failed")
	case answer.Era < fee.earliestEra:
		fee.fire("late")
	case fee.state != "reading" && fee.revision > 0 && answer.Era != fee.era:
		fee.EraRose(answer.Era)
	case fee.state == "reading":
		fee.fire("read")
	default:
		fee.fire("changed")
	}
}

// ReceiveVersion accepts a version from another node if it is newer than the one in force.
func (fee *Feed) ReceiveVersion(cfg *configuration.Configuration) { fee.offer(cfg, "peer") }

// ReceiveEvacuation accepts evacuations from another node if they were read at a later position than the known ones.
func (fee *Feed) ReceiveEvacuation(eva evacuation.Evacuation) { fee.evacuations.Receive(eva) }

// recordEvacuations records what the answer tells of evacuations: nothing if the request failed without one.
func (fee *Feed) recordEvacuations() {
	position := fee.answer.Position()
	switch {
	case fee.answer.Evacuation != nil:
		fee.evacuations.Listed(*fee.answer.Evacuation)
	case fee.err == nil || position != storeposition.Position{}:
		fee.evacuations.Changed(storeposition.Position{Era: fee.era, Revision: fee.revision}, position, fee.answer.EvacuationChanges)
	}
}

func (fee *Feed) read() {
	fee.beginRequest()
	fee.Read()
}

func (fee *Feed) check() {
	fee.beginRequest()
	fee.Check(fee.revision)
}

func (fee *Feed) follow() {
	fee.beginRequest()
	fee.followedAt = time.Now()
	fee.Follow(fee.revision)
}

func (fee *Feed) beginRequest() {
	fee.requests++
	fee.earliestEra = 0
}

func (fee *Feed) acceptAnswer() {
	fee.confirmedAt = time.Now()
	if fee.answer.Era != fee.era {
		fee.era, fee.revision = fee.answer.Era, 0
	}
	fee.outdated = false
	fee.revision = max(fee.revision, fee.answer.Revision)
	if fee.answer.Configuration != nil {
		fee.offer(fee.answer.Configuration, "store")
	}
}

// offer puts a version in force if it is newer than the one in force.
func (fee *Feed) offer(cfg *configuration.Configuration, source string) {
	if fee.current != nil && cfg.Version <= fee.current.Version {
		return
	}
	fee.current = cfg
	fee.Publish(cfg, source)
}

func (fee *Feed) markReachable() {
	fee.pause = 0
	if fee.unreachableSince.IsZero() {
		return
	}
	fee.OnReachable(time.Since(fee.unreachableSince))
	fee.unreachableSince = time.Time{}
}

// markUnreachable sets the pause before the next request; the jitter keeps the nodes of a fleet from asking all at once.
func (fee *Feed) markUnreachable() {
	now := time.Now()
	fee.pause = min(max(2*fee.pause, firstPause), longestPause)
	fee.due = now.Add(time.Duration((0.5 + fee.Random()) * float64(fee.pause)))
	if fee.unreachableSince.IsZero() {
		fee.unreachableSince = now
		fee.OnUnreachable(fee.err)
	}
}

func (fee *Feed) fire(event string) { fee.state = chart.Fire(fee, fee.state, event) }
