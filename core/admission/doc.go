// Package admission decides whether the ingress node accepts a call, and with which account, priority, deadline and
// allowance.
package admission
