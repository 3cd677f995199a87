package logformat

import (
	"github.com/sirupsen/logrus"
)

const timestamp = "2006-01-02T15:04:05.000Z07:00"

// Formatter puts the part's fixed prefix before each message.
type Formatter struct {
	text logrus.TextFormatter
}

// New returns a formatter.
func New() *Formatter {
	return &Formatter{text: logrus.TextFormatter{DisableColors: true, FullTimestamp: true, TimestampFormat: timestamp}}
}

// Format writes one line.
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
