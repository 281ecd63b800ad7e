// Package tracker keeps the state of each data centre that is or was evacuated, by the chart evacuation.
package tracker
