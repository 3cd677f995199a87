package digest

// Load counts the requests of one entry in flight at one target.
type Load struct {
	InFlight     int
	LongInFlight int // number of long requests among them
}
