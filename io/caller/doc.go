// Package caller serves calls over HTTP: those of callers, and deeper calls, which a backend server makes through its
// node for a call that it runs. A deeper call carries the handle of that call in place of an API key.
package caller
