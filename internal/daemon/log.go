// Package daemon assembles one instance from its settings and runs it until it
// is stopped.
package daemon

import (
	"os"

	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"

	"auburnpier/internal/domain"
)

// NewLog returns a logger that writes JSON lines to standard error, each with the
// instance ID.
func NewLog(level string, instance domain.InstanceID) (*zap.Logger, error) {
	l, err := zapcore.ParseLevel(level)
	if err != nil {
		return nil, err
	}
	config := zap.NewProductionEncoderConfig()
	config.EncodeTime = zapcore.ISO8601TimeEncoder
	core := zapcore.NewCore(zapcore.NewJSONEncoder(config), zapcore.Lock(os.Stderr), l)
	return zap.New(core).With(zap.String("instance", string(instance))), nil
}
