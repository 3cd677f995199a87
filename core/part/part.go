package part

// Part is one service among those that share the requests of a rule.
type Part struct {
	Service string
	Weight  float64
}
