// Package configurationfault describes one fault of a submitted configuration.
package configurationfault
