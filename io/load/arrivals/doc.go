// Package arrivals draws the Poisson arrivals of a load plan from its seed; it does not use a clock.
package arrivals
