// Package telemetry sets up the log and the metrics of a node. It defines the names
// of all log events, log fields and metrics, and limits how often one event is
// logged.
package telemetry

import (
	"errors"
	"io"
	"time"

	"github.com/samber/oops"
	"github.com/sirupsen/logrus"
)

// Names of the fields of a log line. Tools that read the log depend on them.
const (
	FieldTime       = "time"
	FieldLevel      = "level"
	FieldEvent      = "event"
	FieldMessage    = "message"
	FieldHost       = "host"
	FieldDataCentre = "data_centre"
	FieldError      = "error"
	FieldErrorCode  = "error_code"
	FieldSuppressed = "suppressed"
	FieldRequest    = "request_id"
	FieldGeneration = "generation_id"
	FieldAttempt    = "attempt_id"
	FieldTeam       = "customer"
	FieldBackend    = "backend_id"
	FieldPeer       = "peer_id"
)

// NewLogger returns a logger that writes one JSON object per line. The level is one
// of debug, info, warning and error. The settings validate it; any other value
// selects info.
func NewLogger(w io.Writer, level, host, dataCentre string) *logrus.Entry {
	logger := logrus.New()
	logger.SetOutput(w)
	parsed, err := logrus.ParseLevel(level)
	if err != nil {
		parsed = logrus.InfoLevel
	}
	logger.SetLevel(parsed)
	logger.SetFormatter(&logrus.JSONFormatter{
		TimestampFormat: time.RFC3339Nano,
		FieldMap: logrus.FieldMap{
			logrus.FieldKeyTime:  FieldTime,
			logrus.FieldKeyLevel: FieldLevel,
			logrus.FieldKeyMsg:   FieldMessage,
		},
	})
	logger.AddHook(utcHook{})
	return logger.WithFields(logrus.Fields{FieldHost: host, FieldDataCentre: dataCentre})
}

// utcHook converts times to UTC, so that lines of hosts in different time zones can
// be compared as text.
type utcHook struct{}

func (utcHook) Levels() []logrus.Level { return logrus.AllLevels }

func (utcHook) Fire(e *logrus.Entry) error {
	e.Time = e.Time.UTC()
	return nil
}

// ErrorFields returns the log fields that describe err: its text and, if it carries
// an error code, the code. It returns nil if err is nil.
func ErrorFields(err error) logrus.Fields {
	if err == nil {
		return nil
	}
	fields := logrus.Fields{FieldError: err.Error()}
	var coded oops.OopsError
	if errors.As(err, &coded) && coded.Code() != nil {
		fields[FieldErrorCode] = coded.Code()
	}
	return fields
}
