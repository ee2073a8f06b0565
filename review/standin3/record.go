package main

import (
	"encoding/json"
	"fmt"
	"os"
	"sync"
	"time"
)

// event is one line of record.txt.
type event struct {
	// Ms is the time since the start of the case.
	Ms      int64  `json:"ms"`
	What    string `json:"what"`
	Request string `json:"request,omitempty"`
	Path    string `json:"path,omitempty"`
	Node    string `json:"node,omitempty"`
	Engine  string `json:"engine,omitempty"`
	Status  int    `json:"status,omitempty"`
	Key     string `json:"key,omitempty"`
	Parts   string `json:"parts,omitempty"`
	Note    string `json:"note,omitempty"`
}

// record is all that clients, engines and the store saw, in order.
type record struct {
	began time.Time

	mu     sync.Mutex
	events []event
	failed string
}

func newRecord() *record { return &record{began: time.Now()} }

func (r *record) add(e event) {
	r.mu.Lock()
	defer r.mu.Unlock()
	e.Ms = time.Since(r.began).Milliseconds()
	r.events = append(r.events, e)
}

func (r *record) note(format string, a ...any) {
	r.add(event{What: "note", Note: fmt.Sprintf(format, a...)})
}

// fail records why the case couldn't run.
func (r *record) fail(format string, a ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.failed == "" {
		r.failed = fmt.Sprintf(format, a...)
	}
}

// now returns the time since the start of the case in ms.
func (r *record) now() int64 { return time.Since(r.began).Milliseconds() }

// all returns the events so far.
func (r *record) all() []event {
	r.mu.Lock()
	defer r.mu.Unlock()
	return append([]event(nil), r.events...)
}

// write writes all events and the verdict.
func (r *record) write(path, verdict string) error {
	f, err := os.Create(path)
	if err != nil {
		return err
	}
	encoder := json.NewEncoder(f)
	for _, e := range r.all() {
		if err := encoder.Encode(e); err != nil {
			return err
		}
	}
	if _, err := fmt.Fprintln(f, verdict); err != nil {
		return err
	}
	return f.Close()
}
