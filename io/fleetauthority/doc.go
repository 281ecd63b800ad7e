// Package fleetauthority creates the fleet's certificate authority and the certificates of its nodes.
package fleetauthority
