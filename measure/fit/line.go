package fit

// Line is y = Base + Slope * x, fitted by least squares.
type Line struct {
	Base  float64
	Slope float64

	xs, ys []float64
}

// Add adds a point and fits the line again.
func (l *Line) Add(x, y float64) {
	l.xs, l.ys = append(l.xs, x), append(l.ys, y)
	n := float64(len(l.xs))
	var sumX, sumY, sumXX, sumXY float64
	for i, x := range l.xs {
		sumX += x
		sumY += l.ys[i]
		sumXX += x * x
		sumXY += x * l.ys[i]
	}
	denominator := n*sumXX - sumX*sumX
	if denominator == 0 {
		l.Base, l.Slope = sumY/n, 0
		return
	}
	l.Slope = (n*sumXY - sumX*sumY) / denominator
	l.Base = (sumY - l.Slope*sumX) / n
}

// At returns the value of the line at x.
func (l *Line) At(x float64) float64 {
	return l.Base + l.Slope*x
}
