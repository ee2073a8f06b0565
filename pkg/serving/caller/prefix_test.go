package caller

import "testing"

func TestPrefixIsTheFirstOfSeveralMessages(t *testing.T) {
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
		t.Errorf("prefixes %d, %d, %d", a, b, c)
	}
	for _, body := range []string{
		`{"model": "m", "messages": [{"role": "user", "content": "1"}]}`,
		`{"model": "m", "prompt": "1"}`,
		`{"model": "m", "messages": 5}`,
	} {
		if got := prefix(body); got != 0 {
			t.Errorf("prefix %d of %s", got, body)
		}
	}
}
