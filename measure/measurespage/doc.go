// Package measurespage writes the results of a measurement as a Markdown page, a JSON file and plots.
package measurespage
