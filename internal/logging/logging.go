// Package logging builds the structured loggers of the daemons.
package logging

import (
	"github.com/cockroachdb/errors"
	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"
)

// Settings is the [log] section of every daemon.
type Settings struct {
	Level  string `ini:"level" default:"info" oneof:"debug info warn error" doc:"Least level that is written."`
	Format string `ini:"format" default:"json" oneof:"json console" doc:"Form of a line."`
}

// New returns a logger to standard error, named after the daemon and with the VM's name as a
// field.
func New(s Settings, daemon, vm string) (*zap.Logger, error) {
	level, err := zapcore.ParseLevel(s.Level)
	if err != nil {
		return nil, errors.Wrap(err, "log level")
	}
	c := zap.NewProductionConfig()
	c.Level = zap.NewAtomicLevelAt(level)
	c.Encoding = s.Format
	c.Sampling = nil // every routing and placement decision must be logged
	c.EncoderConfig.EncodeTime = zapcore.ISO8601TimeEncoder
	c.DisableStacktrace = true
	log, err := c.Build()
	if err != nil {
		return nil, errors.Wrap(err, "build logger")
	}
	return log.Named(daemon).With(zap.String("vm", vm)), nil
}
