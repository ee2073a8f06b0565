package document

import (
	"net/http"
	"regexp"
	"slices"
	"strings"

	"almondbay.example/core/jsonc"
)

// Bounds of a document.
const (
	maxGroups = 10_000
	maxSpan   = 64
	maxShare  = 1_000_000
)

var (
	namePattern = regexp.MustCompile(`^[A-Za-z0-9][A-Za-z0-9._:-]{0,62}$`)
	hashPattern = regexp.MustCompile(`^[0-9a-f]{64}$`)
)

// anyMethod is the method of a Call that selects all methods.
const anyMethod = "*"

var methods = []string{
	http.MethodGet, http.MethodHead, http.MethodPost, http.MethodPut,
	http.MethodPatch, http.MethodDelete, http.MethodOptions, anyMethod,
}

// checker adds the faults of a decoded document to its source.
type checker struct {
	source *jsonc.Source
	// models holds the pointer of each model and adapter by name.
	models map[string]string
}

func check(source *jsonc.Source, d Document) {
	c := checker{source: source, models: make(map[string]string)}
	if len(d.Models) == 0 && len(d.Services) == 0 {
		source.Faultf("/models", "at least one model or service is needed")
	}
	for i, m := range d.Models {
		c.model(jsonc.Pointer("models", i), m)
	}
	c.workspaces(d.Workspaces)
	c.services(d.Services)
	c.fencing(d.Engines.Fencing)
}

func (c *checker) model(at string, m Model) {
	c.modelName(at+"/name", m.Name)
	c.name(at+"/version", m.Version)
	c.between(at+"/groups", m.Groups, 0, maxGroups)
	c.between(at+"/span", m.Span, 1, maxSpan)
	c.between(at+"/spares", m.Spares, 0, maxGroups)
	c.between(at+"/maxUnavailable", m.MaxUnavailable, 1, maxGroups)
	for i, a := range m.Adapters {
		adapterAt := at + jsonc.Pointer("adapters", i)
		c.modelName(adapterAt+"/name", a.Name)
		c.name(adapterAt+"/version", a.Version)
	}
}

// modelName checks a name that callers send as their model.
func (c *checker) modelName(at, name string) {
	c.name(at, name)
	c.unique(c.models, at, name)
}

func (c *checker) workspaces(workspaces []Workspace) {
	names := make(map[string]string)
	hashes := make(map[string]string)
	for i, w := range workspaces {
		at := jsonc.Pointer("workspaces", i)
		c.name(at+"/name", w.Name)
		c.unique(names, at+"/name", w.Name)
		if !(w.Share > 0 && w.Share <= maxShare) {
			c.source.Faultf(at+"/share", "must be above 0 and at most %d, is %g", maxShare, w.Share)
		}
		c.keyHashes(hashes, at+"/keyHashes", w.KeyHashes)
		c.references(at+"/models", w.Models)
		c.objective(at+"/objective", w.Objective)
	}
}

func (c *checker) keyHashes(seen map[string]string, at string, hashes []string) {
	if len(hashes) == 0 {
		c.source.Faultf(at, "at least one key hash is needed")
	}
	for i, hash := range hashes {
		hashAt := at + jsonc.Pointer(i)
		if !hashPattern.MatchString(hash) {
			c.source.Faultf(hashAt, "must be a SHA-256 digest in 64 lower-case hex digits")
			continue
		}
		// The message leaves the digest out, as it may come from a real key.
		if first, taken := seen[hash]; taken {
			c.source.Faultf(hashAt, "is given already at %s", first)
			continue
		}
		seen[hash] = hashAt
	}
}

func (c *checker) references(at string, models []string) {
	seen := make(map[string]string)
	for i, model := range models {
		modelAt := at + jsonc.Pointer(i)
		if _, known := c.models[model]; !known {
			c.source.Faultf(modelAt, "no model or adapter has the name %q", model)
			continue
		}
		c.unique(seen, modelAt, model)
	}
}

func (c *checker) objective(at string, o Objective) {
	if !c.source.Has(at) {
		return
	}
	if o.FirstToken <= 0 {
		c.source.Faultf(at+"/firstToken", "must be above 0")
	}
	if o.BetweenToken <= 0 {
		c.source.Faultf(at+"/betweenToken", "must be above 0")
	}
	if !(o.Target > 0 && o.Target < 1) {
		c.source.Faultf(at+"/target", "must be above 0 and below 1, is %g", o.Target)
	}
}

func (c *checker) services(services []Service) {
	names := make(map[string]string)
	for i, s := range services {
		at := jsonc.Pointer("services", i)
		c.name(at+"/name", s.Name)
		c.unique(names, at+"/name", s.Name)
		if s.Timeout <= 0 {
			c.source.Faultf(at+"/timeout", "must be above 0")
		}
		c.calls(at+"/nonIdempotent", s.NonIdempotent)
	}
}

func (c *checker) calls(at string, calls []Call) {
	seen := make(map[string]string)
	for i, call := range calls {
		callAt := at + jsonc.Pointer(i)
		if !slices.Contains(methods, call.Method) {
			c.source.Faultf(callAt+"/method", "must be one of %s, is %q", strings.Join(methods, ", "), call.Method)
		}
		if !strings.HasPrefix(call.Path, "/") {
			c.source.Faultf(callAt+"/path", "must start with a slash, is %q", call.Path)
		}
		c.unique(seen, callAt, call.Method+" "+call.Path)
	}
}

func (c *checker) fencing(domains []string) {
	seen := make(map[string]string)
	for i, domain := range domains {
		at := jsonc.Pointer("engines", "fencing", i)
		c.name(at, domain)
		c.unique(seen, at, domain)
	}
}

func (c *checker) name(at, name string) {
	if name == "" {
		c.source.Faultf(at, "is missing")
		return
	}
	if !namePattern.MatchString(name) {
		c.source.Faultf(at, "must be 1 to 63 letters, digits, dots, colons, dashes or underscores, is %q", name)
	}
}

func (c *checker) between(at string, value, least, most int) {
	if value < least || value > most {
		c.source.Faultf(at, "must be from %d to %d, is %d", least, most, value)
	}
}

// unique adds a fault when the value stands in the document already.
func (c *checker) unique(seen map[string]string, at, value string) {
	if value == "" {
		return
	}
	if first, taken := seen[value]; taken {
		c.source.Faultf(at, "%q is given already at %s", value, first)
		return
	}
	seen[value] = at
}
