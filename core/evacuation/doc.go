// Package evacuation describes the data centres that operators evacuate: their backend servers receive no requests.
package evacuation
