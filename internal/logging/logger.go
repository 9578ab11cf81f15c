package logging

import (
	"io"

	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"
)

// New returns a logger that writes JSON lines to out without blocking the
// caller, and the Writer that queues these lines. The Writer must be closed at
// the end of the process, so that the queued lines are written.
func New(out io.Writer, level zapcore.Level) (*zap.Logger, *Writer) {
	w := NewWriter(out)
	cfg := zap.NewProductionEncoderConfig()
	cfg.TimeKey, cfg.LevelKey, cfg.MessageKey = "Time", "Level", "Message"
	cfg.EncodeTime = zapcore.RFC3339NanoTimeEncoder
	cfg.EncodeDuration = zapcore.StringDurationEncoder
	return zap.New(zapcore.NewCore(zapcore.NewJSONEncoder(cfg), w, level)), w
}
