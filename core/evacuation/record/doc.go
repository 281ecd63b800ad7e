// Package record keeps what a node knows of the evacuated data centres, from the platform's store and from other nodes.
//
// What is known is ordered by the position in the store: a later one replaces an earlier one, never the reverse. When the
// era of the store rises, the evacuations that the later era lacks remain in effect for a time, because the operators may not
// have written their rows again yet.
package record
