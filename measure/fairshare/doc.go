// Package fairshare calculates weighted max-min fair shares of a capacity among client accounts.
package fairshare
