package configuration

import (
	"slices"
	"time"

	"flamingoreach/core/backendservice"
	"flamingoreach/core/clientaccount"
	"flamingoreach/core/mechanism"
	"flamingoreach/core/route"
)

// Configuration is one version of the configuration; it is never changed once built.
type Configuration struct {
	// Version counts accepted patches from 1; 0 means that no version is known.
	Version uint64
	// PatchID names the patch that made this version.
	PatchID  string
	Routes   []route.Route
	Accounts []clientaccount.ClientAccount
	// Services holds what is stated about the backend servers of services; a service may be missing.
	Services []backendservice.Service
	// RetryAllowance is the number of extra attempts for a root call with its whole tree.
	RetryAllowance int
	// RetryBudgetRatio is the number of retries that each success earns at a node.
	RetryBudgetRatio float64
	// QueueWait bounds the time that a call waits at a gate.
	QueueWait time.Duration
	// QueueLength bounds the calls that wait at a gate.
	QueueLength int
	// QuarantineTime is how long a crashing call's fingerprint is refused.
	QuarantineTime time.Duration
	// CutHold is the time without contact to the store's region after which a data centre refuses keyed calls, so that
	// other data centres may take over its allocations and accept patches without it; 0 means no limit.
	CutHold time.Duration
	// IdleTime is how long a caller's connection may be idle; 0 means that the configuration does not limit it.
	IdleTime time.Duration
	// Off lists the mechanisms that are switched off.
	Off []mechanism.Mechanism
}

// Default returns a configuration without routes and accounts, whose policy fields hold their default values.
func Default() Configuration {
	return Configuration{
		RetryAllowance:   2,
		RetryBudgetRatio: 0.1,
		QueueWait:        250 * time.Millisecond,
		QueueLength:      256,
		QuarantineTime:   10 * time.Minute,
		CutHold:          10 * time.Minute,
	}
}

// Service returns what is stated about the backend servers of a service, or only the name if nothing is.
func (cfg *Configuration) Service(name string) backendservice.Service {
	for _, ser := range cfg.Services {
		if ser.Name == name {
			return ser
		}
	}
	return backendservice.Service{Name: name}
}

// Uses reports whether a mechanism is on.
func (cfg *Configuration) Uses(mec mechanism.Mechanism) bool { return !slices.Contains(cfg.Off, mec) }
