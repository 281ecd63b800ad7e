package destination

// Destination is one of the services among which a route divides its calls.
type Destination struct {
	Service string
	// Weight is the part of the calls that go to Service, relative to the weights of the route's other destinations.
	Weight float64
}
