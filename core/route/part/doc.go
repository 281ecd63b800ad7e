// Package part describes one of the weighted destinations of a route.
package part
