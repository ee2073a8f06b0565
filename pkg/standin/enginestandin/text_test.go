package enginestandin

import "testing"

func TestTextIsPure(t *testing.T) {
	for _, limit := range []int{0, 1, 100} {
		first := Text("prompt", 7, limit)
		if second := Text("prompt", 7, limit); second != first {
			t.Errorf("limit %d: %q, then %q", limit, first, second)
		}
		if other := Text("prompt", 8, limit); other == first {
			t.Errorf("limit %d: seeds 7 and 8 give the same text", limit)
		}
	}
}
