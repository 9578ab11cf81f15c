package settingsfile

import (
	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"
)

// Formats of log lines.
const (
	LogJSON    LogFormat = "JSON"
	LogConsole LogFormat = "Console"
)

type (
	// LogFormat is the format of log lines.
	LogFormat string

	// Log holds the checked log settings of a daemon.
	Log struct {
		Format LogFormat
		Level  zapcore.Level
	}
)

// Log checks the log settings. An empty format means JSON, and an empty level
// means info.
func (c *Checker) Log(format, level string) Log {
	l := Log{Format: LogFormat(format)}
	if format == "" {
		l.Format = LogJSON
	}
	if l.Format != LogJSON && l.Format != LogConsole {
		c.AddFault("LogFormat", "must be %s or %s", LogJSON, LogConsole)
	}
	c.Text("LogLevel", level, &l.Level)
	return l
}

// New returns a logger that writes to standard error.
func (l Log) New() (*zap.Logger, error) {
	cfg := zap.NewProductionConfig()
	if l.Format == LogConsole {
		cfg = zap.NewDevelopmentConfig()
	}
	cfg.Level = zap.NewAtomicLevelAt(l.Level)
	return cfg.Build()
}
