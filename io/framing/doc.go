// Package framing detects HTTP/1.1 requests with an ambiguous body length: more than one Content-Length or
// Transfer-Encoding field, one of each, or one that cannot be understood. net/http chooses one length; if another server
// on the path chooses the other, a second request can be smuggled in the body.
package framing
