// Package deeperlimit bounds the deeper calls that the local backend server has in flight to each service.
//
// While such a call waits for its answer, the call that made it occupies a slot of the backend server. When the deeper
// service sheds load, the bound falls, so that slots stay free for calls that do not need that service; when the
// service answers, the bound grows again (additive increase, multiplicative decrease).
package deeperlimit
