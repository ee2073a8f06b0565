package jsonc_test

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"almondbay.example/core/jsonc"
)

type inner struct {
	Name  string  `json:"name"`
	Share float64 `json:"share"`
}

type outer struct {
	Listen  string         `json:"listen"`
	Timeout jsonc.Duration `json:"timeout"`
	Limit   jsonc.Size     `json:"limit"`
	Count   int            `json:"count"`
	Check   bool           `json:"check"`
	Names   []string       `json:"names"`
	Inner   []inner        `json:"inner"`
}

func TestDecode(t *testing.T) {
	body := `{
	// A comment.
	"listen": "127.0.0.1:80", "timeout": "1m30s", "limit": "64KiB",
	"count": 3, "check": true, "names": ["a", "b",], /* trailing */
	"inner": [{"name": "x", "share": 1.5}, null],
}`
	var got outer
	source := jsonc.Parse("a.jsonc", []byte(body))
	source.Decode(&got)
	if err := source.Faults().Err(); err != nil {
		t.Fatalf("got faults in a valid text: %v", err)
	}
	want := outer{
		Listen: "127.0.0.1:80", Timeout: jsonc.Duration(90 * time.Second), Limit: 64 << 10,
		Count: 3, Check: true, Names: []string{"a", "b"}, Inner: []inner{{"x", 1.5}, {}},
	}
	if diff := cmp.Diff(want, got); diff != "" {
		t.Errorf("decoded value differs (-want +got):\n%s", diff)
	}
}

func TestFaults(t *testing.T) {
	tests := map[string]struct {
		body string
		want []string
	}{
		"syntax": {"{\n  \"listen\" 3}", []string{
			`f:2:12: invalid character '3' after object name`,
		}},
		"empty": {"", []string{`f:1:1: parsing value: unexpected EOF`}},
		"several faults": {
			"{\"Listen\": \"x\",\n \"count\": 1.5, \"timeout\": \"5\",\n\"limit\": 7, \"names\": [\"é\", 1],\n" +
				"\"inner\": [{\"share\": \"a\", \"nam/e\": 1}], \"check\": 0, \"check\": true}",
			[]string{
				`f:1:2: /Listen: unknown field, did you mean "listen"?`,
				`f:2:11: /count: must be an integer, is 1.5`,
				`f:2:27: /timeout: must be a duration with a unit, such as "250ms", is "5"`,
				`f:3:10: /limit: must be a string, is a number`,
				`f:3:28: /names/1: must be a string, is a number`,
				`f:4:21: /inner/0/share: must be a number, is a string`,
				`f:4:26: /inner/0/nam~1e: unknown field`,
				`f:4:49: /check: must be true or false, is a number`,
				`f:4:52: /check: duplicate field`,
			},
		},
		"units": {`{"timeout": "-1s", "limit": "12"}`, []string{
			`f:1:13: /timeout: must not be negative, is "-1s"`,
			`f:1:29: /limit: must be a size with a unit, such as "64KiB", is "12"`,
		}},
		"not an object": {`[1]`, []string{`f:1:1: must be an object, is an array`}},
		"out of range": {`{"inner": [{"share": 1e999}], "count": 99999999999999999999}`, []string{
			`f:1:22: /inner/0/share: number is out of range`,
			`f:1:40: /count: must be an integer, is 99999999999999999999`,
		}},
		"too long": {strings.Repeat(" ", jsonc.MaxBytes+1), []string{
			`f:1:1: text is 1048577 bytes long, the maximum is 1048576`,
		}},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			var target outer
			source := jsonc.Parse("f", []byte(test.body))
			source.Decode(&target)
			if diff := cmp.Diff(strings.Join(test.want, "\n"), source.Faults().Error()); diff != "" {
				t.Errorf("faults differ (-want +got):\n%s", diff)
			}
		})
	}
}

// TestFaultfIgnoresValueWithFault guards against a value that is reported twice,
// once as undecodable and once as invalid because its target is still zero.
func TestFaultfIgnoresValueWithFault(t *testing.T) {
	source := jsonc.Parse("f", []byte("{\n\"inner\": [{\"share\": true}]}"))
	source.Decode(&outer{})
	source.Faultf("/inner/0/share", "must be above zero")
	source.Faultf("/inner/0/name", "is missing")
	want := "f:2:11: /inner/0/name: is missing\n" +
		"f:2:21: /inner/0/share: must be a number, is a boolean"
	if diff := cmp.Diff(want, source.Faults().Error()); diff != "" {
		t.Errorf("faults differ (-want +got):\n%s", diff)
	}
}

func FuzzDecode(f *testing.F) {
	f.Add(`{"listen": "a", /* b */ "inner": [{"name": null,}]}`)
	f.Add(`{"limit": "9EB", "limit": "", "": {}}`)
	f.Add("[[[{\"\xff\": 1}]]]")
	f.Fuzz(func(t *testing.T, body string) {
		source := jsonc.Parse("f", []byte(body))
		source.Decode(&outer{})
		for _, fault := range source.Faults() {
			if fault.Line < 1 || fault.Column < 1 || fault.Message == "" {
				t.Errorf("got fault %+v, want one with a position and a message", fault)
			}
		}
	})
}

func ExampleSource_Decode() {
	type limits struct {
		Timeout jsonc.Duration `json:"timeout"`
		Retries int            `json:"retries"`
	}
	source := jsonc.Parse("limits.jsonc", []byte("{\n  // Per call.\n  \"timeout\": \"5\",\n  \"retry\": 2\n}"))
	var wire limits
	source.Decode(&wire)
	if wire.Retries < 1 {
		source.Faultf("/retries", "must be at least 1")
	}
	fmt.Println(source.Faults())
	// Output:
	// limits.jsonc:1:1: /retries: must be at least 1
	// limits.jsonc:3:14: /timeout: must be a duration with a unit, such as "250ms", is "5"
	// limits.jsonc:4:3: /retry: unknown field
}
