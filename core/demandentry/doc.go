// Package demandentry describes one client account's entry in a demand digest: its demand, its available tokens and
// what the sender knows of its row.
package demandentry
