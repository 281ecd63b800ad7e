// Package gatepolicy holds the settings with which a gate admits, queues, sheds and deduplicates calls.
package gatepolicy
