package enginestandin

import "testing"

// TestTextIsPure guards against answers that depend on anything but the prompt,
// the seed and the limit: tests that compare a resumed or retried answer with
// Text would fail at random.
func TestTextIsPure(t *testing.T) {
	for _, limit := range []int{0, 1, 100} {
		first := Text("prompt", 7, limit)
		if second := Text("prompt", 7, limit); second != first {
			t.Errorf("limit %d: second call returned %q, want %q as in the first", limit, second, first)
		}
		if other := Text("prompt", 8, limit); other == first {
			t.Errorf("limit %d: seeds 7 and 8 generate the same text", limit)
		}
	}
}
