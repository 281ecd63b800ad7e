package faults

import "time"

// LoseAll as the value of LostAnswers means that the answers of all writes are lost until the faults are replaced.
const LoseAll = -1

// Faults holds the faults in force; its zero value means none.
type Faults struct {
	// TableOutage and ObjectOutage close the connection of each request to the service before it has any effect.
	TableOutage  bool `json:"tableOutage"`
	ObjectOutage bool `json:"objectOutage"`
	// Delay is the time by which each request is delayed before it has any effect; in JSON it is in nanoseconds.
	Delay time.Duration `json:"delay"`
	// LostAnswers is the number of the next writes that take effect but are not answered, or LoseAll.
	LostAnswers int `json:"lostAnswers"`
}
