package change

// Change is the creation or deletion of the row that evacuates a data centre.
type Change struct {
	DataCentre string
	// Evacuated is false if the row was deleted.
	Evacuated bool
}
