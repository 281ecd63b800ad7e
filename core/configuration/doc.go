// Package configuration holds one numbered version of the fleet's configuration.
package configuration
