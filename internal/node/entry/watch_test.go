package entry

import (
	"strings"
	"testing"

	"github.com/jonboulle/clockwork"
	"golang.org/x/sync/errgroup"

	"almondbay.example/internal/node/deployment"
)

// TestStepThatDoesNotEndIsSeen guards against a node that reports ready while a step holds
// the lock of a pool for ever, so that it answers no request any more.
func TestStepThatDoesNotEndIsSeen(t *testing.T) {
	clock := clockwork.NewFakeClock()
	w := &stepWatch{clock: clock}
	n := &Node{config: Config{Clock: clock, Settings: deployment.Settings{}}, watch: w}
	started, end := make(chan struct{}), make(chan struct{})
	var g errgroup.Group
	g.Go(func() error {
		w.run("refresh of loads", func() {
			close(started)
			<-end
		})
		return nil
	})
	<-started
	if step := w.stuck(); step != "" {
		t.Errorf("step %q counts as stuck at its start", step)
	}
	clock.Advance(stepLimit)
	if ready, cause := n.ready(); ready || !strings.Contains(cause, "refresh of loads") {
		t.Errorf("ready %v, cause %q; want the step that does not end", ready, cause)
	}
	close(end)
	if err := g.Wait(); err != nil {
		t.Fatal(err)
	}
	clock.Advance(stepLimit)
	if step := w.stuck(); step != "" {
		t.Errorf("step %q counts as stuck after its end", step)
	}
}
