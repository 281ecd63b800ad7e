// Package division is the control-state module by which the leaders of the data centres divide a client account's rate
// and burst.
//
// The row "division/ACCOUNT" holds the allocations of all data centres. A transfer moves a part of the leader's own
// allocation, with tokens, to another data centre. The leader first lowers its allocation at its bucket, where the
// tokens held by nodes count, then in the row. A leader raises its allocation only once the row says so.
//
// A takeover moves the allocations of an isolated data centre to a data centre in the store's region. A data centre is
// isolated when it has been without contact for longer than cutHold; it then grants no tokens.
//
// Each write is conditional on the revision of the row and, as a fence, on the revision of the writer's own leader row;
// that of a takeover also on the revision of the leader row of the isolated data centre.
package division
