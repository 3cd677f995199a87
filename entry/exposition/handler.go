package exposition

import (
	"fmt"
	"net/http"
	"slices"
	"strings"

	"github.com/rcrowley/go-metrics"
)

// Handler responds with one line for each value in the registry.
type Handler struct {
	Registry metrics.Registry
}

// ServeHTTP writes the metrics sorted by name. Histograms of durations are in microseconds.
func (h Handler) ServeHTTP(w http.ResponseWriter, _ *http.Request) {
	var lines []string
	h.Registry.Each(func(name string, metric any) {
		name = "poplar_" + strings.NewReplacer(".", "_", "-", "_").Replace(name)
		switch m := metric.(type) {
		case metrics.Counter:
			lines = append(lines, fmt.Sprintf("%s %d\n", name, m.Count()))
		case metrics.Histogram:
			s := m.Snapshot()
			for _, q := range []float64{0.5, 0.9, 0.99, 0.999} {
				lines = append(lines, fmt.Sprintf("%s{quantile=\"%v\"} %v\n", name, q, s.Percentile(q)))
			}
			lines = append(lines, fmt.Sprintf("%s_count %d\n", name, s.Count()))
		}
	})
	slices.Sort(lines)
	w.Header().Set("Content-Type", "text/plain; charset=utf-8")
	_, _ = w.Write([]byte(strings.Join(lines, ""))) // a client that has disconnected needs no response
}
