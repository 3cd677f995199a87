package weightedservice

// WeightedService is one of the services over which the requests of a rule are split.
type WeightedService struct {
	Service string
	Weight  float64
}
