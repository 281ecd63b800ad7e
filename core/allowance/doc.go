// Package allowance bounds the extra attempts of a whole request tree.
//
// A root call starts with a number of extra attempts. Each deeper call is lent a part of them, and its answer returns
// those that were not spent. Thus the sum over the tree never exceeds the number at the root, however deep the tree is.
// If the answer is lost, its part counts as spent.
package allowance
