// Package destination describes one of the weighted destinations of a route.
package destination
