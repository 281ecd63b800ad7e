package site

import "flamingoreach/io/standinbackendserver/behaviour"

// Site is one backend server with its node, and the data centre that they are in.
type Site struct {
	Region     string
	DataCentre string
	Service    string
	Behaviour  behaviour.Behaviour
	// Deferred is set if the site is started by Fleet.StartDeferred instead of Start.
	Deferred bool
}
