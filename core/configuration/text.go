package configuration

// Text is a configuration as the operator wrote it.
type Text struct {
	Revision uint64 // place in the order of all writes
	Value    []byte
}
