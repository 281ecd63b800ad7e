// Command rig plays the cases of the review that are scripts. It starts the nodes as the deploy file says, with stand-ins
// for the platform's store, the backend servers and the callers on loopback addresses, and prints what it judged.
package main
