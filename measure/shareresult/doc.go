// Package shareresult holds the figures of a run of the share rig.
package shareresult
