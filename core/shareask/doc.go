// Package shareask describes what a node reports and requests for one client account.
package shareask
