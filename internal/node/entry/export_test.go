package entry

import (
	"log"

	"github.com/jonboulle/clockwork"
	"go.uber.org/zap"

	"almondbay.example/internal/routing/ingress"
)

// LogRequest logs a finished request.
func LogRequest(logger *zap.Logger, r ingress.Result) {
	newEventLog(logger, clockwork.NewFakeClock(), func() uint64 { return 0 }).request(r, 0)
}

// NewErrorLog returns a logger for errors that net/http reports.
func NewErrorLog(logger *zap.Logger) *log.Logger {
	return log.New(newEventLog(logger, clockwork.NewFakeClock(), func() uint64 { return 0 }), "", 0)
}

// CommonCause is the time within which ends of servers may have one cause.
const CommonCause = commonCause
