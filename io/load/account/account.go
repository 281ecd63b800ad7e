package account

// Account is a client account with its key and the rate at which its requests are sent.
type Account struct {
	Name string
	// Key is sent as a bearer token; if it is empty, no credentials are sent.
	Key string
	// Rate is in requests per second, outside the surge.
	Rate float64
	// AllowedRate, in requests per second, and AllowedBurst, in requests, bound the requests whose refusal counts as
	// wrongful; they are at most what the fleet grants the account. If they are 0, no refusal counts.
	AllowedRate  float64
	AllowedBurst float64
}
