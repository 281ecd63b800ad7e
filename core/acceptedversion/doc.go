// Package acceptedversion describes an accepted version of the configuration as the table keeps it for operators.
package acceptedversion
