// Package reason lists why a call is refused or retried.
package reason
