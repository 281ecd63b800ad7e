// Package echo describes the answer in which a stand-in backend server describes the request that it received.
package echo
