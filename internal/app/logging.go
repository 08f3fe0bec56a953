package app

import (
	"io"

	"github.com/sirupsen/logrus"
)

// NewLogger returns a logger that writes each entry as one line of key=value pairs.
func NewLogger(w io.Writer, level, host string) (*logrus.Entry, error) {
	parsed, err := logrus.ParseLevel(level)
	if err != nil {
		return nil, err
	}
	log := logrus.New()
	log.SetOutput(w)
	log.SetLevel(parsed)
	log.SetFormatter(&logrus.TextFormatter{DisableColors: true, FullTimestamp: true, TimestampFormat: "2006-01-02T15:04:05.000000Z07:00"})
	return log.WithField("host", host), nil
}
