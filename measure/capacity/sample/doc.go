// Package sample holds the measured cost of one run of a fleet.
package sample
