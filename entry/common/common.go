package common

import (
	"time"

	"github.com/cockroachdb/errors"
	"github.com/rcrowley/go-metrics"
	"github.com/sirupsen/logrus"

	"poplarworks/core/invariant"
	"poplarworks/entry/logformat"
	"poplarworks/entry/logsink"
	"poplarworks/entry/settings"
)

const (
	sampleSize  = 1028  // samples that a histogram keeps
	sampleAlpha = 0.015 // weight of recent samples
)

// Common is embedded by the parts of the entry.
type Common struct {
	Settings    settings.Settings
	Logger      *logrus.Logger
	Metrics     metrics.Registry
	Check       *invariant.Checker // nil unless the settings ask for assertions
	Incarnation uint64             // differs between two runs of the same entry; a later run has a higher one
}

// New returns what a process carries that logs to the sink.
func New(parsed settings.Settings, sink *logsink.Sink) (*Common, error) {
	level, err := logrus.ParseLevel(parsed.LogLevel)
	if err != nil {
		return nil, errors.Wrap(err, "log level")
	}
	logger := logrus.New()
	logger.SetOutput(sink)
	logger.SetLevel(level)
	logger.SetFormatter(logformat.New())
	return &Common{
		Settings:    parsed,
		Logger:      logger,
		Metrics:     metrics.NewRegistry(),
		Incarnation: uint64(time.Now().UnixNano()),
	}, nil
}

// Log returns the log of one part.
func (c *Common) Log(part string) *logrus.Entry {
	return c.Logger.WithField("part", part)
}

// Now returns the time.
func (c *Common) Now() time.Time {
	return time.Now()
}

// Counter returns the counter of that name.
func (c *Common) Counter(name string) metrics.Counter {
	return metrics.GetOrRegisterCounter(name, c.Metrics)
}

// Histogram returns the histogram of that name; durations go in as microseconds.
func (c *Common) Histogram(name string) metrics.Histogram {
	if held, ok := c.Metrics.Get(name).(metrics.Histogram); ok {
		return held
	}
	sample := metrics.NewExpDecaySample(sampleSize, sampleAlpha)
	return metrics.GetOrRegisterHistogram(name, c.Metrics, sample)
}
