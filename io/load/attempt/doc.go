// Package attempt holds the result of one attempt of the load generator.
package attempt
