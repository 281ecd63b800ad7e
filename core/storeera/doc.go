// Package storeera follows the era of the platform's store, which rises each time that the store comes back from an older
// copy. What this node wrote shortly before may then be missing, and what it deleted may be there again.
package storeera
