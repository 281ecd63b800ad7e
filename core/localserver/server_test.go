package localserver_test

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"flamingoreach/core/announcement"
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

func TestTheFirstAnnouncementSinceTheStartOfTheNodeIsDoubted(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var log []string
		ser := newServer(&log)
		ser.DoubtFirst = true
		announce := func(id string, sequence uint64, state string) {
			ser.Announced(announcement.Announcement{ID: id, Sequence: sequence, State: state, Started: time.Unix(1, 0)})
		}
		take := func() []string {
			lines := log
			log = nil
			return lines
		}
		announce("a", 5, "serving")
		announce("a", 4, "serving")
		require.Equal(t, []string{"doubted"}, take(), "a late one repeats nothing")
		time.Sleep(localserver.SilenceLimit + time.Second)
		ser.Tick()
		announce("a", 6, "serving")
		require.Equal(t, []string{"absent", "doubted"}, take(), "the first one after silence may be late, too")
		announce("b", 1, "serving")
		require.Equal(t, []string{"absent", "doubted"}, take(), "the first one of another process")
		announce("b", 2, "draining")
		announce("b", 3, "serving")
		require.Equal(t, []string{"absent", "doubted"}, take())
		announce("b", 4, "serving")
		require.Equal(t, []string{"open", "serving"}, take())
		ser.ConnectionRefused()
		announce("b", 5, "serving")
		require.Equal(t, []string{"crash", "absent", "open", "serving"}, take(), "this node would know of its leaving")
	})
}
