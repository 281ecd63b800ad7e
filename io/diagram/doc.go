// Package diagram renders state charts as Mermaid diagrams.
package diagram
