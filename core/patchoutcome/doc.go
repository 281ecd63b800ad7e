// Package patchoutcome names the outcomes of a patch.
package patchoutcome
