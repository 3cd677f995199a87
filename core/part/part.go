package part

// Part is one of the services over which the requests of a rule are split.
type Part struct {
	Service string
	Weight  float64
}
