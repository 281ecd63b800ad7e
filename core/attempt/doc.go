// Package attempt sends an admitted call to the gates of backend servers, one after the other, until it is answered or
// refused.
package attempt
