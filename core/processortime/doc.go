// Package processortime tells how much processor time a process or thread has used.
package processortime
