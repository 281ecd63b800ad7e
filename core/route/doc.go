// Package route describes a route: the mapping of an HTTP method and path to a service.
package route
