package account

// Account is a client account with its key and the rate at which its requests are sent.
type Account struct {
	Name string
	// Key is sent as a bearer token; if it is empty, no credentials are sent.
	Key string
	// Rate is in requests per second, outside the surge.
	Rate float64
	// AllowedRate and AllowedBurst are what the fleet grants the account; a refusal within them counts as wrongful. If they
	// are 0, no refusal does.
	AllowedRate  float64
	AllowedBurst float64
}
