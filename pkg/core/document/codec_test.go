package document_test

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"almondbay.example/core/document"
)

var keyHash = strings.Repeat("ab", 32)

// validDocument returns a document that uses every section and omits the
// optional fields that have a default.
func validDocument() string {
	return `{
	"models": [{"name": "draft", "version": "v3", "groups": 2, "span": 4, "spares": 1,
		"adapters": [{"name": "draft-theatre", "version": "v1"}]}],
	"workspaces": [{"name": "lisbon", "keyHashes": ["` + keyHash + `"], "models": ["draft-theatre"],
		"objective": {"firstToken": "2s", "betweenToken": "45ms", "target": 0.95}}],
	"services": [{"name": "booking", "nonIdempotent": [{"method": "POST", "path": "/slots"}]}],
	"engines": {"fencing": ["fabric-a"]},
}`
}

func TestParse(t *testing.T) {
	got, faults := document.Parse("d", []byte(validDocument()))
	if len(faults) != 0 {
		t.Fatalf("got faults %v for a valid document", faults)
	}
	want := document.Document{
		Models: []document.Model{{
			Name: "draft", Version: "v3", Groups: 2, Span: 4, Spares: 1, MaxUnavailable: 1,
			Adapters: []document.Adapter{{Name: "draft-theatre", Version: "v1"}},
		}},
		Workspaces: []document.Workspace{{
			Name: "lisbon", KeyHashes: []string{keyHash}, Share: 1, Models: []string{"draft-theatre"},
			Objective: document.Objective{FirstToken: 2 * time.Second, BetweenToken: 45 * time.Millisecond, Target: 0.95},
		}},
		Services: []document.Service{{
			Name: "booking", Timeout: 30 * time.Second,
			NonIdempotent: []document.Call{{Method: "POST", Path: "/slots"}},
		}},
		Engines: document.Engines{Fencing: []string{"fabric-a"}},
	}
	if diff := cmp.Diff(want, got); diff != "" {
		t.Errorf("document differs (-want +got):\n%s", diff)
	}
}

func TestParseReportsEveryFault(t *testing.T) {
	tests := map[string]struct{ old, new, want string }{
		"empty document":          {validDocument(), `{}`, "d:1:1: /models: at least one model or service is required"},
		"missing name":            {`"name": "draft", `, ``, "d:2:13: /models/0/name: is missing"},
		"invalid name":            {`"draft"`, `"a/b"`, `d:2:22: /models/0/name: must be 1 to 63 letters, digits, dots, colons, dashes or underscores, starting with a letter or digit, is "a/b"`},
		"zero span":               {`"span": 4`, `"span": 0`, "d:2:69: /models/0/span: must be from 1 to 64, is 0"},
		"negative groups":         {`"groups": 2`, `"groups": -1`, "d:2:58: /models/0/groups: must be from 0 to 10000, is -1"},
		"zero maxUnavailable":     {`"spares": 1`, `"maxUnavailable": 0`, "d:2:90: /models/0/maxUnavailable: must be from 1 to 10000, is 0"},
		"duplicate name":          {`"draft-theatre", "version"`, `"draft", "version"`, `d:3:25: /models/0/adapters/0/name: "draft" is already used at /models/0/name` + "\n" + `d:4:130: /workspaces/0/models/0: no model or adapter is named "draft-theatre"`},
		"unknown model":           {`["draft-theatre"]`, `["theatre", "draft", "draft"]`, `d:4:130: /workspaces/0/models/0: no model or adapter is named "theatre"` + "\n" + `d:4:150: /workspaces/0/models/2: "draft" is already used at /workspaces/0/models/1`},
		"key not hashed":          {keyHash, "secret", "d:4:50: /workspaces/0/keyHashes/0: must be a SHA-256 digest of 64 lower-case hex digits"},
		"no key hash":             {`"` + keyHash + `"`, "", "d:4:49: /workspaces/0/keyHashes: at least one key hash is required"},
		"duplicate key hash":      {`"` + keyHash + `"`, `"` + keyHash + `", "` + keyHash + `"`, `d:4:118: /workspaces/0/keyHashes/1: duplicates the key hash at /workspaces/0/keyHashes/0`},
		"zero share":              {`"name": "lisbon"`, `"name": "lisbon", "share": 0`, "d:4:45: /workspaces/0/share: must be above 0 and at most 1000000, is 0"},
		"target in percent":       {`0.95`, `95`, "d:5:71: /workspaces/0/objective/target: must be above 0 and below 1, is 95"},
		"incomplete objective":    {`"firstToken": "2s", `, ``, "d:5:16: /workspaces/0/objective/firstToken: must be above 0"},
		"invalid call":            {`"POST", "path": "/slots"`, `"post", "path": "slots"`, `d:6:64: /services/0/nonIdempotent/0/method: must be one of GET, HEAD, POST, PUT, PATCH, DELETE, OPTIONS, *, is "post"` + "\n" + `d:6:80: /services/0/nonIdempotent/0/path: must start with a slash, is "slots"`},
		"timeout without unit":    {`"name": "booking"`, `"name": "booking", "timeout": 30`, "d:6:46: /services/0/timeout: must be a string, is a number"},
		"duplicate fabric domain": {`["fabric-a"]`, `["fabric-a", "fabric-a"]`, `d:7:38: /engines/fencing/1: "fabric-a" is already used at /engines/fencing/0`},
		"unknown field":           {`"engines"`, `"Engines"`, `d:7:2: /Engines: unknown field, did you mean "engines"?`},
		"truncated":               {`"fabric-a"]},` + "\n}", ``, `d:7:26: parsing value: unexpected EOF`},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			body := strings.Replace(validDocument(), test.old, test.new, 1)
			_, faults := document.Parse("d", []byte(body))
			if diff := cmp.Diff(test.want, faults.Error()); diff != "" {
				t.Errorf("faults differ (-want +got):\n%s", diff)
			}
		})
	}
}

func TestDifference(t *testing.T) {
	before, _ := document.Parse("d", []byte(validDocument()))
	changed := strings.NewReplacer(
		`"v3"`, `"v4"`, `"draft-theatre", "version"`, `"draft-film", "version"`, `"share": 1`, `"share": 2`,
	).Replace(validDocument())
	after, _ := document.Parse("d", []byte(changed))
	var got []string
	for _, c := range document.Difference(before, after) {
		got = append(got, c.String())
	}
	want := []string{
		"+ models/draft/adapters/draft-film: v1",
		"- models/draft/adapters/draft-theatre: v1",
		"~ models/draft/version: v3 -> v4",
	}
	if diff := cmp.Diff(want, got); diff != "" {
		t.Errorf("changes differ (-want +got):\n%s", diff)
	}
	if changes := document.Difference(before, before); changes != nil {
		t.Errorf("got changes %v between a document and itself, want none", changes)
	}
}

func FuzzParse(f *testing.F) {
	f.Add(validDocument())
	f.Add(`{"models": [null, {"adapters": [null]}], "workspaces": [null]}`)
	f.Fuzz(func(_ *testing.T, body string) {
		_, faults := document.Parse("d", []byte(body))
		_ = faults.Error()
	})
}

func ExampleParse() {
	body := `{"models": [{"name": "draft", "version": "v1", "groups": 1}]}`
	_, faults := document.Parse("trial.jsonc", []byte(body))
	fmt.Println(faults)
	// Output: trial.jsonc:1:13: /models/0/span: must be from 1 to 64, is 0
}
