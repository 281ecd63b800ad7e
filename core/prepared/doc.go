// Package prepared is the answer of a data centre's leader to the request to prepare a patch.
package prepared
