package target

import (
	"strconv"
	"strings"
)

const (
	reportFormat = "TEXT "
	inFlightName = "named_metrics.in_flight"
	maxReported  = 1 << 20
)

// ParseLoad reads the requests that a target holds from a load report in the text form of ORCA.
func ParseLoad(value string) (inFlight int, ok bool) {
	text, found := strings.CutPrefix(value, reportFormat)
	if !found {
		return 0, false
	}
	for pair := range strings.SplitSeq(text, ",") {
		name, number, _ := strings.Cut(strings.TrimSpace(pair), "=")
		if name != inFlightName {
			continue
		}
		held, err := strconv.ParseFloat(number, 64)
		if err != nil || !(held >= 0 && held <= maxReported) {
			return 0, false
		}
		return int(held), true
	}
	return 0, false
}
