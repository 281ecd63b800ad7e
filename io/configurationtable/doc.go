// Package configurationtable reads and writes the configuration's rows in the platform's table service.
//
// The rows are configuration/current, configuration/prepared, patch/ID, version/NUMBER and dataCentre/NAME. All methods
// block on the table service, so they must not be called on the control thread.
package configurationtable
