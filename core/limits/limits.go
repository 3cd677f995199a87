package limits

// Limits is the content of an operator's limits record. The rates are totals over all entries.
type Limits struct {
	Name            string
	ReadsPerSecond  int
	WritesPerSecond int
	MaxEntries      int // largest number of entries that share the limits
}

// Default returns the limits that apply while there is no limits record.
func Default() Limits {
	return Limits{Name: "default", ReadsPerSecond: 400, WritesPerSecond: 200, MaxEntries: 18}
}
