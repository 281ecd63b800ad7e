// Package capacity measures the cost of the control plane for a node, by the size of its fleet.
//
// Real nodes run on loopback with stand-ins for the platform and the backend servers, for most measurements in one
// process and without calls. The processor time of a control thread is that of its OS thread. Bytes of control messages
// do not include the transport's overhead.
package capacity
