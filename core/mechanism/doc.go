// Package mechanism names the mechanisms of the overload policy that a configuration can switch off.
package mechanism
