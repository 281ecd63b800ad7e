// Package division is the control-state module by which the leaders of the data centres divide a client account's rate
// and burst.
//
// The row "division/ACCOUNT" holds the allocations of all data centres. A leader lowers only the allocation of its
// own data centre: first at its bucket, where the tokens held by nodes count, then in the row. It raises its allocation
// only after it has read the row. Each write is conditional on the revision of the row and, as a fence, on the revision
// of the writer's own leader row.
package division
