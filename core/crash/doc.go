// Package crash describes a call that was running when a backend server's process died.
package crash
