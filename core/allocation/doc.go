// Package allocation describes the calls of one client account that one data centre may admit.
package allocation
