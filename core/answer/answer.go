package answer

// Answer is a complete answer.
type Answer struct {
	Status int
	Fields []Field
	Body   []byte
}

// Field is one header field of an answer.
type Field struct {
	Name  string
	Value string
}
