// Package framing detects HTTP/1.1 requests with an ambiguous body length: repeated Content-Length or Transfer-Encoding
// fields, or both. net/http chooses one length; where another server on the path chooses the other, a second request
// can be smuggled in the body.
package framing
