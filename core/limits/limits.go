package limits

// Limits is what an operator's limits record says; both figures are for all entries together.
type Limits struct {
	Name            string
	ReadsPerSecond  int
	WritesPerSecond int
	MaxEntries      int
}

// Default returns the limits that hold until a record says otherwise.
func Default() Limits {
	return Limits{Name: "default", ReadsPerSecond: 400, WritesPerSecond: 200, MaxEntries: 18}
}
