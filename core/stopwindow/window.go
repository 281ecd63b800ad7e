package stopwindow

import "time"

const (
	// noticeTime is how long callers may take to notice that the host is no longer ready. Their requests are taken until
	// then whatever their deadline is; refusing them would fail callers that cannot know better yet.
	noticeTime = 3 * time.Second
	// noticeDivisor divides the time of the whole stop to get the bound on noticeTime in short stops.
	noticeDivisor = 2
)

// Window is the time of one planned stop.
type Window struct {
	open, end time.Time
}

// New returns the window of a stop that began at a time, and at whose end all requests must have been answered.
func New(began, end time.Time) *Window {
	return &Window{open: began.Add(min(noticeTime, end.Sub(began)/noticeDivisor)), end: end}
}

// Admits reports whether a request that arrives now may be taken. It answers the load of a stop in calm: requests that
// come late and would be cut, unanswered, at its end. They are refused as not run while there is time to go elsewhere.
// That holds for deeper calls too. One that is cut may have run, and its parent, whose deadline it has, is cut with it.
func (win *Window) Admits(now, deadline time.Time) bool {
	return now.Before(win.open) || !deadline.After(win.end)
}
