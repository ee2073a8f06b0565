package entry

import (
	"sync"
	"time"

	"github.com/jonboulle/clockwork"
)

// stepLimit is some hundred times the duration of a step on a busy VM.
const stepLimit = 5 * time.Second

// stepWatch tells whether a step that needs the locks of requests, such as those of the
// pools of heads, does not end: then requests do not either, though the node answers
// readiness probes.
type stepWatch struct {
	clock clockwork.Clock

	mu sync.Mutex
	// name is the step that runs; empty if none does.
	name      string
	startedAt time.Time
}

// run runs a step.
func (w *stepWatch) run(name string, step func()) {
	w.set(name)
	defer w.set("")
	step()
}

func (w *stepWatch) set(name string) {
	w.mu.Lock()
	defer w.mu.Unlock()

	w.name, w.startedAt = name, w.clock.Now()
}

// stuck returns the step that has not ended within its limit, or an empty string.
func (w *stepWatch) stuck() string {
	w.mu.Lock()
	defer w.mu.Unlock()

	if w.name == "" || w.clock.Since(w.startedAt) < stepLimit {
		return ""
	}
	return w.name
}
