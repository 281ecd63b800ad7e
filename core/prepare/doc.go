// Package prepare is the request to a data centre's leader to prepare a patch.
//
// A data centre has prepared a patch when none of its nodes can serve keyed calls any more without enforcing the patch.
package prepare
