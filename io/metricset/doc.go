// Package metricset holds the metrics of one node, with a counter for each reason of refusals and retries.
package metricset
