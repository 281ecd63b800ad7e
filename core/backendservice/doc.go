// Package backendservice describes a service as the configuration holds it.
package backendservice
