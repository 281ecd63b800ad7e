// Package ingressrig measures the nodes of two services, the first of which calls the second, under faults.
//
// Each data centre has one host of each service: a backend server with its node and its gate, an admission controller.
// Open-loop callers send requests to the hosts of the first service, whose nodes choose among the gates of all data
// centres. The simulated backend servers of the first service make deeper calls, the calls that a running call makes,
// to the second one through their own nodes.
//
// A scenario describes the deployment, its callers and several cases. A case may add faults and overload for a part of
// the run, the trigger. It is run under each control, a variant of the nodes' mechanisms.
//
// The rig runs in a testing/synctest bubble on one processor, starts one goroutine for each request and waits for all
// of them; the same seed gives the same report.
package ingressrig
