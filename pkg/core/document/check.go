package document

import (
	"net/http"
	"regexp"
	"slices"
	"strings"

	"almondbay.example/core/jsonc"
)

// Limits on the values in a document.
const (
	maxGroups = 10_000
	maxSpan   = 64
	maxShare  = 1_000_000
)

var (
	namePattern = regexp.MustCompile(`^[A-Za-z0-9][A-Za-z0-9._:-]{0,62}$`)
	hashPattern = regexp.MustCompile(`^[0-9a-f]{64}$`)
)

// anyMethod is the Call.Method that selects all HTTP methods.
const anyMethod = "*"

var methods = []string{
	http.MethodGet, http.MethodHead, http.MethodPost, http.MethodPut,
	http.MethodPatch, http.MethodDelete, http.MethodOptions, anyMethod,
}

// validator validates a decoded document and adds the faults to its source. The
// arguments named pointer are JSON pointers to the validated value.
type validator struct {
	source *jsonc.Source
	// models holds the JSON pointer of each model and adapter by name.
	models map[string]string
}

func validate(source *jsonc.Source, d Document) {
	v := validator{source: source, models: make(map[string]string)}
	if len(d.Models) == 0 && len(d.Services) == 0 {
		source.Faultf("/models", "at least one model or service is required")
	}
	for i, m := range d.Models {
		v.model(jsonc.Pointer("models", i), m)
	}
	v.workspaces(d.Workspaces)
	v.services(d.Services)
	v.fencing(d.Engines.Fencing)
}

func (v *validator) model(pointer string, m Model) {
	v.modelName(pointer+"/name", m.Name)
	v.name(pointer+"/version", m.Version)
	v.inRange(pointer+"/groups", m.Groups, 0, maxGroups)
	v.inRange(pointer+"/span", m.Span, 1, maxSpan)
	v.inRange(pointer+"/spares", m.Spares, 0, maxGroups)
	v.inRange(pointer+"/maxUnavailable", m.MaxUnavailable, 1, maxGroups)
	for i, a := range m.Adapters {
		adapterPointer := pointer + jsonc.Pointer("adapters", i)
		v.modelName(adapterPointer+"/name", a.Name)
		v.name(adapterPointer+"/version", a.Version)
	}
}

// modelName validates the name of a model or adapter. Callers send either in the
// same field of a request, so the two share one namespace.
func (v *validator) modelName(pointer, name string) {
	v.name(pointer, name)
	v.unique(v.models, pointer, name)
}

func (v *validator) workspaces(workspaces []Workspace) {
	names := make(map[string]string)
	hashes := make(map[string]string)
	for i, w := range workspaces {
		pointer := jsonc.Pointer("workspaces", i)
		v.name(pointer+"/name", w.Name)
		v.unique(names, pointer+"/name", w.Name)
		if !(w.Share > 0 && w.Share <= maxShare) {
			v.source.Faultf(pointer+"/share", "must be above 0 and at most %d, is %g", maxShare, w.Share)
		}
		v.keyHashes(hashes, pointer+"/keyHashes", w.KeyHashes)
		v.references(pointer+"/models", w.Models)
		v.objective(pointer+"/objective", w.Objective)
	}
}

func (v *validator) keyHashes(seen map[string]string, pointer string, hashes []string) {
	if len(hashes) == 0 {
		v.source.Faultf(pointer, "at least one key hash is required")
	}
	for i, hash := range hashes {
		hashPointer := pointer + jsonc.Pointer(i)
		if !hashPattern.MatchString(hash) {
			v.source.Faultf(hashPointer, "must be a SHA-256 digest of 64 lower-case hex digits")
			continue
		}
		// The message omits the digest, as it may be that of a key in use.
		if first, duplicate := seen[hash]; duplicate {
			v.source.Faultf(hashPointer, "duplicates the key hash at %s", first)
			continue
		}
		seen[hash] = hashPointer
	}
}

func (v *validator) references(pointer string, models []string) {
	seen := make(map[string]string)
	for i, model := range models {
		modelPointer := pointer + jsonc.Pointer(i)
		if _, known := v.models[model]; !known {
			v.source.Faultf(modelPointer, "no model or adapter is named %q", model)
			continue
		}
		v.unique(seen, modelPointer, model)
	}
}

func (v *validator) objective(pointer string, o Objective) {
	if !v.source.Has(pointer) {
		return
	}
	if o.FirstToken <= 0 {
		v.source.Faultf(pointer+"/firstToken", "must be above 0")
	}
	if o.BetweenToken <= 0 {
		v.source.Faultf(pointer+"/betweenToken", "must be above 0")
	}
	if !(o.Target > 0 && o.Target < 1) {
		v.source.Faultf(pointer+"/target", "must be above 0 and below 1, is %g", o.Target)
	}
}

func (v *validator) services(services []Service) {
	names := make(map[string]string)
	for i, s := range services {
		pointer := jsonc.Pointer("services", i)
		v.name(pointer+"/name", s.Name)
		v.unique(names, pointer+"/name", s.Name)
		if s.Timeout <= 0 {
			v.source.Faultf(pointer+"/timeout", "must be above 0")
		}
		v.calls(pointer+"/nonIdempotent", s.NonIdempotent)
	}
}

func (v *validator) calls(pointer string, calls []Call) {
	seen := make(map[string]string)
	for i, call := range calls {
		callPointer := pointer + jsonc.Pointer(i)
		if !slices.Contains(methods, call.Method) {
			v.source.Faultf(callPointer+"/method", "must be one of %s, is %q", strings.Join(methods, ", "), call.Method)
		}
		if !strings.HasPrefix(call.Path, "/") {
			v.source.Faultf(callPointer+"/path", "must start with a slash, is %q", call.Path)
		}
		v.unique(seen, callPointer, call.Method+" "+call.Path)
	}
}

func (v *validator) fencing(domains []string) {
	seen := make(map[string]string)
	for i, domain := range domains {
		pointer := jsonc.Pointer("engines", "fencing", i)
		v.name(pointer, domain)
		v.unique(seen, pointer, domain)
	}
}

func (v *validator) name(pointer, name string) {
	if name == "" {
		v.source.Faultf(pointer, "is missing")
		return
	}
	if !namePattern.MatchString(name) {
		v.source.Faultf(pointer, "must be 1 to 63 letters, digits, dots, colons, dashes or underscores, starting with a letter or digit, is %q", name)
	}
}

func (v *validator) inRange(pointer string, value, minimum, maximum int) {
	if value < minimum || value > maximum {
		v.source.Faultf(pointer, "must be from %d to %d, is %d", minimum, maximum, value)
	}
}

// unique adds a fault if the value is already in seen, and else records it there
// with its pointer. Empty values are ignored.
func (v *validator) unique(seen map[string]string, pointer, value string) {
	if value == "" {
		return
	}
	if first, duplicate := seen[value]; duplicate {
		v.source.Faultf(pointer, "%q is already used at %s", value, first)
		return
	}
	seen[value] = pointer
}
