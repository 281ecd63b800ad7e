// Package standingdelay distinguishes a standing queue from a short burst by the minimum queue delay in each
// interval, as CoDel does: a burst drains within the interval, a standing queue does not.
package standingdelay
