package loan

// Loan is a number of tokens of one account's rate; a token lets one call run.
type Loan struct {
	Account string  `json:"account" cbor:"1,keyasint"`
	Tokens  float64 `json:"tokens" cbor:"2,keyasint"`
}
