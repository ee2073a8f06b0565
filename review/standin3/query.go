package main

import (
	"fmt"
	"net/http"
	"time"
)

// tries is the number of times that the request comes.
const tries = 25

// query plays a request that crashes engines and comes again with other queries. It returns
// whether the rule held.
func query(w *world, trouble string) (held bool, verdict string) {
	stop := make(chan struct{})
	defer close(stop)
	go w.sound(stop)
	time.Sleep(2 * time.Second)
	w.record.note("the request that crashes engines comes every second, at one machine after the other")
	refused := 0
	for i := range tries {
		path := pathBad + "?try=1"
		if trouble != troubleNone {
			path = fmt.Sprintf("%s?try=%d", pathBad, i+1)
		}
		if w.send(w.nodes[i%len(w.nodes)], path) == http.StatusServiceUnavailable {
			refused++
		}
		time.Sleep(time.Second)
	}
	crashes := w.crashes()
	if len(crashes) < 3 {
		w.record.fail("%d engines crashed, want 3", len(crashes))
		return false, ""
	}
	late := 0
	for _, e := range w.record.all() {
		if e.What == "reaches" && e.Path == pathBad && e.Ms > crashes[2]+3000 {
			late++
		}
	}
	verdict = fmt.Sprintf("later than contactMs after its third crash the request reached engines %d times (3 are allowed); %d engines crashed, %d of %d requests were refused", late, len(crashes), refused, tries)
	return late <= 3, verdict
}
