// Package charts embeds the state charts of flamingoreach.
package charts
