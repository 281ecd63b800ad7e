package settingsproblem

// Problem is one error in a settings file.
type Problem struct {
	// Line counts from 1; 0 means that the problem concerns the whole file.
	Line int `json:"line"`
	// Key is the dotted key; it is empty if the file could not be read or is not valid TOML.
	Key  string `json:"key,omitempty"`
	Text string `json:"text"`
}
