// Package count holds the results of a group of requests, such as those of one account.
package count
