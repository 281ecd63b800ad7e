// Package request describes a call as a front end received it, before admission.
package request
