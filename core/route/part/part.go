package part

// Part is one service of a route with its share of the calls.
type Part struct {
	Service string
	// Weight is relative to the other parts of the route.
	Weight float64
}
