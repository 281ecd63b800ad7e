// Package datacentre describes a data centre as the table lists it.
package datacentre
