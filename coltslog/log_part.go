// Package coltslog makes the loggers of the system's parts.
package coltslog

// Every line starts with the name of the part that wrote it, so that one file of
// a whole instance can be read by part with nothing but grep.

import (
	"io"

	"github.com/sirupsen/logrus"
)

// Config says what is logged and how.
type Config struct {
	Output io.Writer
	// Level is a logrus level, such as "info".
	Level string
	// JSON says that lines are JSON objects rather than text.
	JSON bool
	// Instance stands in every line.
	Instance string
}

// Log makes the loggers of one instance.
type Log struct {
	logger   *logrus.Logger
	instance string
}

// New returns the log of an instance. An unknown level counts as "info".
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

// Part returns the logger of a part; its lines start with the part's name.
func (l *Log) Part(name string) *Part {
	return &Part{prefix: name + ": ", entry: l.logger.WithField("instance", l.instance)}
}

// Part logs short sentences with the part's prefix.
type Part struct {
	prefix string
	entry  *logrus.Entry
}

// Fields are a line's values by their names in kebab case.
type Fields = logrus.Fields

// Info logs what an operator wants to know in ordinary running.
func (p *Part) Info(sentence string, fields Fields) {
	p.entry.WithFields(fields).Info(p.prefix + sentence)
}

// Warn logs what an operator should look at.
func (p *Part) Warn(sentence string, fields Fields) {
	p.entry.WithFields(fields).Warn(p.prefix + sentence)
}

// Error logs what an operator must act on.
func (p *Part) Error(sentence string, fields Fields) {
	p.entry.WithFields(fields).Error(p.prefix + sentence)
}

// Debug logs what helps in finding a fault.
func (p *Part) Debug(sentence string, fields Fields) {
	p.entry.WithFields(fields).Debug(p.prefix + sentence)
}
