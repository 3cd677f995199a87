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
	sampleSize  = 1028  // samples in the reservoir of a histogram
	sampleAlpha = 0.015 // decay factor; a higher value gives recent samples more weight
)

// Common is embedded by the parts of the entry.
type Common struct {
	Settings    settings.Settings
	Logger      *logrus.Logger
	Metrics     metrics.Registry
	Check       *invariant.Checker // nil unless the settings enable assertions
	Incarnation uint64             // identifies one run of the entry; a later run has a higher number
}

// New returns the Common of a process that logs to the sink.
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

// Log returns the logger for one part of the entry.
func (c *Common) Log(part string) *logrus.Entry {
	return c.Logger.WithField("part", part)
}

// Now returns the current time.
func (c *Common) Now() time.Time {
	return time.Now()
}

// Counter returns the counter with the name, and creates it if necessary.
func (c *Common) Counter(name string) metrics.Counter {
	return metrics.GetOrRegisterCounter(name, c.Metrics)
}

// Histogram returns the histogram with the name, and creates it if necessary. Durations are recorded in microseconds.
func (c *Common) Histogram(name string) metrics.Histogram {
	if histogram, ok := c.Metrics.Get(name).(metrics.Histogram); ok {
		return histogram
	}
	sample := metrics.NewExpDecaySample(sampleSize, sampleAlpha)
	return metrics.GetOrRegisterHistogram(name, c.Metrics, sample)
}
