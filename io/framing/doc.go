// Package framing detects HTTP/1.1 requests with an ambiguous body length: more than one Content-Length or
// Transfer-Encoding field, or one of each. net/http chooses one length; if another server on the path chooses the other,
// a second request can be smuggled in the body.
package framing
