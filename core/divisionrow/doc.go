// Package divisionrow describes the row that divides a client account's rate and burst between data centres.
package divisionrow
