// Package chart reads state charts from TOML files and checks them.
package chart
