package record

// Record is a snapshot of the counters of a stand-in and of the texts and IDs that it received.
type Record struct {
	State    string `json:"state"`
	Requests int    `json:"requests"`
	// Executed counts the requests that got a slot.
	Executed int `json:"executed"`
	// Shed counts the requests that were refused without being executed.
	Shed int `json:"shed"`
	// Cancelled counts the running or queued requests whose caller disconnected.
	Cancelled        int `json:"cancelled"`
	DeadlineExceeded int `json:"deadlineExceeded"`
	Truncated        int `json:"truncated"`
	// DeeperCalls counts attempts of deeper calls; DeeperFailed counts those with a status other than 200.
	DeeperCalls           int `json:"deeperCalls"`
	DeeperFailed          int `json:"deeperFailed"`
	AnnouncementsLost     int `json:"announcementsLost"`
	AnnouncementsAccepted int `json:"announcementsTaken"`
	// Texts holds each distinct target and header line received, so that a test can check that no key was forwarded.
	Texts []string `json:"texts"`
	// Executions and Digests count the requests that got a slot, by call ID and by digest of the body.
	Executions map[string]int `json:"executions"`
	Digests    map[string]int `json:"digests"`
	// RequestIDs counts them by the request ID of the load generator; requests without one are left out.
	RequestIDs map[string]int `json:"requestIds"`
	// Overflow counts the entries that were dropped because a collection was full; if it is above 0, the record is
	// incomplete.
	Overflow int `json:"overflow"`
}
