// Package account describes a client account on whose behalf the load generator sends requests.
package account
