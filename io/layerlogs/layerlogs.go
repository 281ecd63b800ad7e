package layerlogs

import "github.com/charmbracelet/log"

// LayerLogs are the loggers of a node's layers; each line names its layer.
type LayerLogs struct {
	Caller   *log.Logger
	Peer     *log.Logger
	Gate     *log.Logger
	Control  *log.Logger
	Platform *log.Logger
}

// New derives the loggers from root, whose output they share, each with the lowest level that it writes.
func New(root *log.Logger, caller, peer, gate, control, platform log.Level) *LayerLogs {
	derive := func(layer string, level log.Level) *log.Logger {
		logger := root.With("layer", layer)
		logger.SetLevel(level)
		return logger
	}
	return &LayerLogs{
		Caller: derive("caller", caller), Peer: derive("peer", peer), Gate: derive("gate", gate),
		Control: derive("control", control), Platform: derive("platform", platform),
	}
}
