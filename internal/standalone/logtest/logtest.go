package logtest

import (
	"io"

	"github.com/sirupsen/logrus"
)

// Discard returns a logger that writes nowhere.
func Discard() *logrus.Logger {
	log := logrus.New()
	log.SetOutput(io.Discard)
	return log
}
