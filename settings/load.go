package settings

// LoadEntry reads and checks an entry's settings file. Errors have code
// BadSettings and name file, line, key and the allowed range.
func LoadEntry(file string) (Entry, error) {
	s := DefaultEntry()
	err := load(file, &s)
	return s, err
}

// LoadAgent reads and checks an agent's settings file, with errors as LoadEntry.
func LoadAgent(file string) (Agent, error) {
	s := DefaultAgent()
	err := load(file, &s)
	return s, err
}
