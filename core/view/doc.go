// Package view holds the immutable snapshot that the control thread publishes to the threads that handle calls.
package view
