package target

import (
	"strconv"
	"strings"
)

const (
	textFormatPrefix    = "TEXT "
	inFlightMetric      = "named_metrics.in_flight"
	maxReportedInFlight = 1 << 20
)

// ParseLoad returns the number of requests in flight that a target reports in the text format of ORCA.
func ParseLoad(value string) (inFlight int, ok bool) {
	text, found := strings.CutPrefix(value, textFormatPrefix)
	if !found {
		return 0, false
	}
	for pair := range strings.SplitSeq(text, ",") {
		name, number, _ := strings.Cut(strings.TrimSpace(pair), "=")
		if name != inFlightMetric {
			continue
		}
		count, err := strconv.ParseFloat(number, 64)
		if err != nil || !(count >= 0 && count <= maxReportedInFlight) {
			return 0, false
		}
		return int(count), true
	}
	return 0, false
}
