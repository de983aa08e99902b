package speed

// lineRate is the weight of a new sample in a line that has enough of them. A VM gets some ten responses of a
// service per second, so that the line follows the load of the service within half a minute.
const lineRate = 1.0 / 200

// line is a regression line of times (nanoseconds) over a quantity that explains a part of them. The relative
// errors are minimized, so that short and long times count equally.
type line struct {
	samples          int
	w, x, xx, y, xy  float64 // weighted means
	intercept, slope float64
}

// at returns the expected time, or 0 without samples.
func (l *line) at(x float64) float64 { return l.intercept + l.slope*x }

// add adds a sample.
func (l *line) add(x, y float64) {
	l.samples++
	scale := y // of the error
	if usual := l.at(x); usual > 0 {
		scale = min(max(y, usual/MaxFactor), usual*MaxFactor)
		y, scale = scale, usual
	}
	weight := 1 / (scale * scale)
	rate := max(lineRate, 1/float64(l.samples))
	l.w += rate * (weight - l.w)
	l.x += rate * (weight*x - l.x)
	l.xx += rate * (weight*x*x - l.xx)
	l.y += rate * (weight*y - l.y)
	l.xy += rate * (weight*x*y - l.xy)
	meanX, meanY := l.x/l.w, l.y/l.w
	l.slope = 0
	if variance := l.xx/l.w - meanX*meanX; variance > 1e-9*l.xx/l.w {
		l.slope = max(0, (l.xy/l.w-meanX*meanY)/variance)
	}
	if l.intercept = meanY - l.slope*meanX; l.intercept < 0 {
		// More work never takes less time, and none takes some.
		l.intercept, l.slope = 0, meanY/max(meanX, 1e-9)
	}
}
