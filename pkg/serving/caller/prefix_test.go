package caller

import "testing"

// TestPrefixHashesOnlyTheFirstOfSeveralMessages checks that requests with the
// same first message get the same prefix, and that a request without a second
// message gets none, since it shares nothing with others.
func TestPrefixHashesOnlyTheFirstOfSeveralMessages(t *testing.T) {
	prefix := func(body string) uint64 {
		g, err := parseGeneration([]byte(body))
		if err != nil {
			t.Fatal(err)
		}
		return g.prefix
	}
	a := prefix(`{"model": "m", "messages": [{"role": "system", "content": "s"}, {"role": "user", "content": "1"}]}`)
	b := prefix(`{"model": "m", "messages": [{"role": "system", "content": "s"}, {"role": "user", "content": "2"}]}`)
	c := prefix(`{"model": "m", "messages": [{"role": "system", "content": "t"}, {"role": "user", "content": "1"}]}`)
	if a == 0 || a != b || a == c {
		t.Errorf("prefixes %d, %d, %d; want the first two equal and nonzero, and the third different", a, b, c)
	}
	for _, body := range []string{
		`{"model": "m", "messages": [{"role": "user", "content": "1"}]}`,
		`{"model": "m", "prompt": "1"}`,
		`{"model": "m", "messages": 5}`,
	} {
		if got := prefix(body); got != 0 {
			t.Errorf("prefix %d of %s, want 0", got, body)
		}
	}
}
