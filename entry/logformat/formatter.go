package logformat

import (
	"github.com/sirupsen/logrus"
)

const timestampFormat = "2006-01-02T15:04:05.000Z07:00"

// Formatter prefixes each message with the name of the part that logs it.
type Formatter struct {
	text logrus.TextFormatter
}

// New returns a formatter without colours and with full timestamps.
func New() *Formatter {
	return &Formatter{text: logrus.TextFormatter{DisableColors: true, FullTimestamp: true, TimestampFormat: timestampFormat}}
}

// Format formats one line.
func (f *Formatter) Format(entry *logrus.Entry) ([]byte, error) {
	part, ok := entry.Data["part"].(string)
	if !ok {
		return f.text.Format(entry)
	}
	line := *entry
	line.Message = part + ": " + entry.Message
	line.Data = logrus.Fields{}
	for name, value := range entry.Data {
		if name != "part" {
			line.Data[name] = value
		}
	}
	return f.text.Format(&line)
}
