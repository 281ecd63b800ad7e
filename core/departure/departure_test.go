package departure_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"flamingoreach/core/announcement"
	"flamingoreach/core/departure"
)

// Guards against a departure that keeps out a later process or a process that serves again, and against one that misses a
// late announcement.
func TestADepartureCoversWhatWasAnnouncedBefore(t *testing.T) {
	at := func(seconds int64) time.Time { return time.Unix(seconds, 0) }
	drained := departure.Departure{ServerID: "a", Started: at(10), Sequence: 7, At: at(20)}
	deregistered := drained
	deregistered.Deregistered = true
	unknownStart := departure.Departure{ServerID: "a", Deregistered: true, At: at(20)}
	for name, test := range map[string]struct {
		dep     departure.Departure
		ann     announcement.Announcement
		covered bool
	}{
		"before the drain":                 {drained, announcement.Announcement{ID: "a", Started: at(10), Sequence: 6}, true},
		"serves again":                     {drained, announcement.Announcement{ID: "a", Started: at(10), Sequence: 8}, false},
		"without a number":                 {drained, announcement.Announcement{ID: "a", Started: at(10)}, true},
		"numbered from 0":                  {drained, announcement.Announcement{ID: "a", Started: at(10), Numbered: true}, true},
		"earlier process of the ID":        {drained, announcement.Announcement{ID: "a", Started: at(9), Sequence: 9}, true},
		"later process of the ID":          {drained, announcement.Announcement{ID: "a", Started: at(11), Sequence: 1}, false},
		"earlier process":                  {drained, announcement.Announcement{ID: "b", Started: at(9), Sequence: 9}, true},
		"later process":                    {drained, announcement.Announcement{ID: "b", Started: at(11), Sequence: 1}, false},
		"another process, start not known": {drained, announcement.Announcement{ID: "b", Sequence: 1}, false},
		"start not announced":              {drained, announcement.Announcement{ID: "a", Sequence: 6}, true},
		"deregistered":                     {deregistered, announcement.Announcement{ID: "a", Started: at(10), Sequence: 9}, true},
		"later process, deregistered":      {deregistered, announcement.Announcement{ID: "a", Started: at(11), Sequence: 1}, false},
		"start not known":                  {unknownStart, announcement.Announcement{ID: "a", Started: at(10), Sequence: 9}, true},
		"start not known, later process":   {unknownStart, announcement.Announcement{ID: "a", Started: at(21), Sequence: 1}, false},
	} {
		require.Equal(t, test.covered, test.dep.Covers(test.ann), name)
	}
}

func TestDeparturesThatNoNodeCanHaveAnnouncedAreInvalid(t *testing.T) {
	require.Error(t, departure.Departure{ServerID: "a", At: time.Now()}.Validate())
}
