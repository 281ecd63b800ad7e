package count

// Count counts the requests of one group by result; each offered request has exactly one result: complete,
// refused or failed.
type Count struct {
	Offered int `json:"offered"`
	// Complete counts requests with a complete answer that belongs to the request.
	Complete int `json:"whole"`
	Refused  int `json:"refused"`
	Failed   int `json:"failed"`
	// WithinRate counts offered requests that the allowed rate and burst of their account cover; WrongfulRefusals
	// counts the refused ones among them.
	WithinRate       int `json:"within"`
	WrongfulRefusals int `json:"wrongful"`
}

// Served returns the fraction of offered requests that got a complete answer, 1 if none was offered.
func (cou Count) Served() float64 {
	if cou.Offered == 0 {
		return 1
	}
	return float64(cou.Complete) / float64(cou.Offered)
}
