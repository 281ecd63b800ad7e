package stopwindow

import "time"

const (
	// noticeTime is how long callers may take to notice that the host is no longer ready. Their requests are taken until
	// then whatever their deadline is; refusing them would fail callers that cannot know better yet.
	noticeTime = 3 * time.Second
	// noticeDivisor divides the time of the whole stop to get the bound on noticeTime in short stops.
	noticeDivisor = 2
	// deeperTime is ample for most deeper calls. Until this long before the end they are taken although their deadline, which
	// is that of the request they belong to, lies beyond it: refusing one fails work that already runs.
	deeperTime = time.Second
)

// Window is the time of one planned stop.
type Window struct {
	open, end time.Time
}

// New returns the window of a stop that began at a time, and at whose end all connections are closed.
func New(began, end time.Time) *Window {
	return &Window{open: began.Add(min(noticeTime, end.Sub(began)/noticeDivisor)), end: end}
}

// Admits reports whether a request that arrives now may be taken. It answers the load of a stop in calm: requests that
// come late and would be cut, unanswered, at its end. They are refused as not run while there is time to go elsewhere.
func (win *Window) Admits(now, deadline time.Time, deeper bool) bool {
	switch {
	case now.Before(win.open), !deadline.After(win.end):
		return true
	case deeper:
		return now.Before(win.end.Add(-deeperTime))
	}
	return false
}
