package entry

import (
	"github.com/jonboulle/clockwork"
	"go.uber.org/zap"

	"almondbay.example/internal/routing/ingress"
)

// LogRequest logs a finished request.
func LogRequest(logger *zap.Logger, r ingress.Result) {
	newEventLog(logger, clockwork.NewFakeClock(), func() uint64 { return 0 }).request(r, 0)
}
