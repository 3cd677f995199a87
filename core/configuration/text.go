package configuration

// Text is the undecoded text of a configuration.
type Text struct {
	Revision uint64 // position in the order of all writes
	Value    []byte // the text as the operator wrote it
}
