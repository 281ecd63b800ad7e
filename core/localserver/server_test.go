package localserver_test

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"flamingoreach/core/announcement"
	"flamingoreach/core/departure"
	"flamingoreach/core/departurecheck/verdict"
	"flamingoreach/core/localserver"
)

func newServer(log *[]string) *localserver.Server {
	ser := localserver.New()
	ser.Open = func(announcement.Announcement) { *log = append(*log, "open") }
	ser.Drain = func() { *log = append(*log, "drain") }
	ser.Crash = func() { *log = append(*log, "crash") }
	ser.OnChange = func(state string, _ announcement.Announcement) { *log = append(*log, state) }
	return ser
}

func TestServerFollowsAnnouncements(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var log []string
		ser := newServer(&log)
		first := announcement.Announcement{State: "serving", Started: time.Now()}
		ser.Announced(first)
		ser.Announced(first)
		require.Equal(t, []string{"open", "serving"}, log)

		log = nil
		time.Sleep(time.Second)
		ser.Announced(announcement.Announcement{State: "serving", Started: time.Now()})
		require.Equal(t, []string{"crash", "open", "serving"}, log, "a later process means that the earlier one died")

		log = nil
		ser.Announced(first)
		require.Empty(t, log, "a late announcement of an earlier process is ignored")

		time.Sleep(localserver.SilenceLimit + time.Second)
		ser.Tick()
		require.Equal(t, []string{"crash", "absent"}, log)
	})
}

func TestADrainingServerMayServeAgain(t *testing.T) {
	var log []string
	ser := newServer(&log)
	ser.Announced(announcement.Announcement{State: "serving"})
	ser.Announced(announcement.Announcement{State: "draining"})
	ser.Announced(announcement.Announcement{State: "serving"})
	ser.ConnectionRefused()
	require.Equal(t, []string{"open", "serving", "drain", "draining", "open", "serving", "crash", "absent"}, log)
}

func TestLateAnnouncementsOfAProcessAreIgnored(t *testing.T) {
	var log []string
	ser := newServer(&log)
	ser.Announced(announcement.Announcement{ID: "a", Sequence: 4, State: "serving"})
	ser.Announced(announcement.Announcement{ID: "a", Sequence: 6, State: "draining"})
	require.False(t, ser.Announced(announcement.Announcement{ID: "a", Sequence: 5, State: "serving"}))
	require.Equal(t, []string{"open", "serving", "drain", "draining"}, log)
	ser.Announced(announcement.Announcement{ID: "b", Sequence: 1, State: "serving"})
	log = nil
	require.False(t, ser.Announced(announcement.Announcement{ID: "a", Sequence: 9, State: "serving"}), "another process has replaced it")
	require.Empty(t, log)
}

func TestLateAnnouncementsOfAProcessThatLeftAreIgnoredEvenIfItWasUnknown(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var log []string
		ser := newServer(&log)
		started := time.Now()
		time.Sleep(time.Second)
		require.False(t, ser.ProcessLeaving("a", time.Time{}), "this node has just started")
		ser.Announced(announcement.Announcement{ID: "a", Sequence: 18, State: "serving", Started: started})
		require.Empty(t, log, "a late announcement does not open the gate")
		time.Sleep(time.Second)
		ser.Announced(announcement.Announcement{ID: "a", Sequence: 1, State: "serving", Started: time.Now()})
		require.Equal(t, []string{"open", "serving"}, log, "a new process under the same ID serves")
	})
}

// Guards against a backend server whose announcements are numbered from 0: its first one, arriving late, brought it into use
// again.
func TestAnnouncementsAreOrderedFromTheNumberZeroOn(t *testing.T) {
	var log []string
	ser := newServer(&log)
	ser.Announced(announcement.Announcement{ID: "a", Sequence: 1, Numbered: true, State: "serving"})
	ser.Announced(announcement.Announcement{ID: "a", Sequence: 2, Numbered: true, State: "draining"})
	require.False(t, ser.Announced(announcement.Announcement{ID: "a", Sequence: 0, Numbered: true, State: "serving"}))
	require.Equal(t, []string{"open", "serving", "drain", "draining"}, log)
}

// Guards against a process that is taken out of use by the late deregistration of an earlier one of the same ID.
func TestALateDeregistrationLeavesTheNextProcessOfItsIDInUse(t *testing.T) {
	var log []string
	ser := newServer(&log)
	ser.Announced(announcement.Announcement{ID: "a", Sequence: 1, State: "serving", Started: time.Unix(2, 0)})
	require.False(t, ser.ProcessLeaving("a", time.Unix(1, 0)))
	require.Equal(t, []string{"open", "serving"}, log)
	require.True(t, ser.ProcessLeaving("a", time.Unix(2, 0)))
	require.Equal(t, []string{"open", "serving", "drain", "draining"}, log)
}

// Guards against a process that is used after it has left because its heartbeat arrives only then, and an earlier process of
// the same ID was the one that this node knew.
func TestALateAnnouncementOfAProcessThatLeftUnheardIsIgnored(t *testing.T) {
	var log []string
	ser := newServer(&log)
	ser.Announced(announcement.Announcement{ID: "a", Sequence: 7, State: "serving", Started: time.Unix(1, 0)})
	ser.ProcessLeaving("a", time.Unix(2, 0))
	ser.Announced(announcement.Announcement{ID: "a", Sequence: 1, State: "serving", Started: time.Unix(2, 0)})
	require.NotEqual(t, localserver.Serving, ser.State())
}

// checkedServer is a server whose checks are recorded in its log.
func checkedServer(log *[]string) *localserver.Server {
	ser := newServer(log)
	ser.NodeStarted = time.Unix(10, 0)
	ser.Check = func(announcement.Announcement) { *log = append(*log, "check") }
	return ser
}

func serving(id string, sequence uint64, started int64) announcement.Announcement {
	return announcement.Announcement{ID: id, Sequence: sequence, State: "serving", Started: time.Unix(started, 0)}
}

// Guards against a process that is used because two late announcements follow each other, and against one that stays out of
// use although it is known not to have left.
func TestAProcessThatIsOlderThanTheNodeIsCheckedBeforeItIsUsed(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var log []string
		ser := checkedServer(&log)
		take := func() []string {
			lines := log
			log = nil
			return lines
		}
		ser.Announced(serving("a", 5, 1))
		ser.Announced(serving("a", 4, 1))
		ser.Announced(serving("a", 6, 1))
		require.Equal(t, []string{"check", "doubted"}, take(), "further announcements prove nothing")
		ser.Checked(serving("a", 5, 1), verdict.Verdict{})
		require.Empty(t, take())
		ser.Announced(serving("a", 7, 1))
		require.Equal(t, []string{"check"}, take(), "it is checked again if nobody knew")
		time.Sleep(localserver.SilenceLimit + time.Second)
		ser.Tick()
		ser.Announced(serving("a", 8, 1))
		require.Equal(t, []string{"absent", "check", "doubted"}, take(), "the first one after silence may be late, too")
		ser.Announced(serving("b", 1, 2))
		require.Equal(t, []string{"absent", "check", "doubted"}, take(), "the first one of another process")
		ser.Checked(serving("a", 8, 1), verdict.Verdict{Decided: true})
		require.Empty(t, take(), "the result is that of an earlier process")
		ser.Announced(announcement.Announcement{ID: "b", Sequence: 2, State: "draining", Started: time.Unix(2, 0)})
		ser.Checked(serving("b", 1, 2), verdict.Verdict{Decided: true})
		require.Equal(t, []string{"absent"}, take(), "it drains")
		ser.Announced(serving("b", 3, 2))
		ser.Checked(serving("b", 3, 2), verdict.Verdict{Decided: true})
		require.Equal(t, []string{"check", "doubted", "open", "serving"}, take())
		ser.ConnectionRefused()
		ser.Announced(serving("b", 4, 2))
		require.Equal(t, []string{"crash", "absent", "open", "serving"}, take(), "this node would know of its leaving")
		ser.Announced(serving("c", 1, 3))
		require.Equal(t, []string{"crash", "absent", "check", "doubted"}, take(), "another process that this node does not know")
		ser.Announced(serving("d", 1, 11))
		require.Equal(t, []string{"absent", "open", "serving"}, take(), "a process that started after the node cannot have left before")
	})
}

// Guards against a check whose result is lost, after which the process would never be used.
func TestALostCheckIsRepeated(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var log []string
		ser := checkedServer(&log)
		for number := range uint64(4) {
			ser.Announced(serving("a", number, 1))
			time.Sleep(localserver.CheckLimit / 2)
		}
		require.Equal(t, []string{"check", "doubted", "check"}, log)
	})
}

// Guards against a process that has left and is used again after a restart of its node, and against a departure that keeps out
// a process which serves again.
func TestAProcessWhoseDepartureIsKnownStaysOut(t *testing.T) {
	drained := departure.Departure{ServerID: "a", Started: time.Unix(1, 0), Sequence: 7}
	deregistered := drained
	deregistered.Deregistered = true
	for name, test := range map[string]struct {
		dep      departure.Departure
		expected []string
	}{
		"drained":      {drained, []string{"check", "doubted", "absent", "check", "doubted"}},
		"deregistered": {deregistered, []string{"check", "doubted", "absent"}},
	} {
		t.Run(name, func(t *testing.T) {
			var log []string
			ser := checkedServer(&log)
			ser.Announced(serving("a", 5, 1))
			ser.Checked(serving("a", 5, 1), verdict.Verdict{Decided: true, Found: true, Departure: test.dep})
			ser.Announced(serving("a", 6, 1))
			ser.Announced(serving("a", 7, 1))
			ser.Announced(serving("a", 8, 1))
			require.Equal(t, test.expected, log, "only an announcement after the drain may matter")
			log = nil
			ser.Announced(serving("a", 1, 11))
			require.Contains(t, log, "open", "the next process of the ID serves at once")
		})
	}
}

// Guards against a departure that is told to other nodes without what a later announcement is compared with.
func TestADepartureHasWhatIsKnownOfTheProcess(t *testing.T) {
	ser := newServer(&[]string{})
	ser.Announced(serving("a", 5, 2))
	dep, found := ser.DepartureOf("a", time.Time{})
	require.True(t, found)
	require.Equal(t, uint64(5), dep.Sequence)
	require.Equal(t, time.Unix(2, 0), dep.Started)
	_, found = ser.DepartureOf("a", time.Unix(1, 0))
	require.False(t, found, "an earlier process")
}
