// Package scenariofile reads the TOML files that describe the rigs' scenarios.
package scenariofile
