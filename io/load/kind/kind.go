package kind

// Kind is one kind of request.
type Kind struct {
	Name string
	// Priority groups the results; it is not sent.
	Priority string
	Method   string
	// Path may include a query.
	Path string
	// BodyBytes is the length of the body, at least that of the request's ID, with which it starts; 0 sends no body.
	BodyBytes int
	// IdempotencyKey adds the request's ID as an idempotency key.
	IdempotencyKey bool
	// Idempotent requests may be retried whatever the result of earlier attempts.
	Idempotent bool
	// Weight is the share of this kind in the mix, relative to the weights of the other kinds.
	Weight float64
}

// SafeToRetry reports whether a request may be retried although an earlier attempt may have been executed.
func (kin Kind) SafeToRetry() bool { return kin.Idempotent || kin.IdempotencyKey }
