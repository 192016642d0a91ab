// Package coltslog provides the loggers of an instance's components.
package coltslog

// Each message starts with the name of the component that logged it, so that the log of an
// instance can be filtered by component with grep.

import (
	"io"

	"github.com/sirupsen/logrus"
)

// Config is the configuration of a log.
type Config struct {
	Output io.Writer
	// Level is the minimum level of logged lines as a logrus level, such as "info".
	Level string
	// JSON is set if lines are written as JSON objects instead of text.
	JSON bool
	// Instance is the instance's ID, a field of every line.
	Instance string
}

// Log is the log of one instance. Each component logs through its own logger.
type Log struct {
	logger   *logrus.Logger
	instance string
}

// New returns the log of an instance. An unknown level means "info".
func New(cfg Config) *Log {
	logger := logrus.New()
	logger.SetOutput(cfg.Output)
	level, err := logrus.ParseLevel(cfg.Level)
	if err != nil {
		level = logrus.InfoLevel
	}
	logger.SetLevel(level)
	logger.SetFormatter(&logrus.TextFormatter{FullTimestamp: true, DisableColors: true})
	if cfg.JSON {
		logger.SetFormatter(&logrus.JSONFormatter{})
	}
	return &Log{logger: logger, instance: cfg.Instance}
}

// Discard returns a log that writes nothing.
func Discard() *Log {
	return New(Config{Output: io.Discard, Level: "panic"})
}

// Logger returns the logger of the named component.
func (l *Log) Logger(component string) *Logger {
	return &Logger{prefix: component + ": ", entry: l.logger.WithField("instance", l.instance)}
}

// Logger logs messages, which are sentences, with the component's name as prefix.
type Logger struct {
	prefix string
	entry  *logrus.Entry
}

// Fields are the fields of a line by name. Names are in kebab case.
type Fields = logrus.Fields

// Info logs a regular event that is of interest to operators.
func (p *Logger) Info(message string, fields Fields) {
	p.entry.WithFields(fields).Info(p.prefix + message)
}

// Warn logs a problem that an operator should look into.
func (p *Logger) Warn(message string, fields Fields) {
	p.entry.WithFields(fields).Warn(p.prefix + message)
}

// Error logs a problem that an operator must act on.
func (p *Logger) Error(message string, fields Fields) {
	p.entry.WithFields(fields).Error(p.prefix + message)
}

// Debug logs details for troubleshooting.
func (p *Logger) Debug(message string, fields Fields) {
	p.entry.WithFields(fields).Debug(p.prefix + message)
}
