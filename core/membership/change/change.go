package change

// The events of the chart backendServer.
const (
	WarmUp = "warmUp"
	Serve  = "serve"
	Eject  = "eject"
	Drain  = "drain"
	Stop   = "stop"
)

// Change is one event of the backend server, with the service and slots that it has announced.
type Change struct {
	Event   string `json:"event"`
	Service string `json:"service"`
	Slots   int    `json:"slots"`
}
