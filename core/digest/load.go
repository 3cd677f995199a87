package digest

// Load is one entry's requests in flight at one target.
type Load struct {
	InFlight int
	Long     int
}
