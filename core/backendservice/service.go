package backendservice

import "time"

// Service holds what the operators state about the backend servers of one service.
type Service struct {
	Name string
	// ColdStart is how long a backend server is slow after its process has started; 0 if that is not known.
	ColdStart time.Duration
	// ColdRate is the number of requests per second that a cold backend server can handle. With 0, a cold backend server is
	// treated like any other.
	ColdRate float64
}
