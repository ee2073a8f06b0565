package attempt

import (
	"encoding/hex"
	"encoding/json"
	"fmt"
)

// bookingWire is the JSON form of a booking row in the table service.
type bookingWire struct {
	Phase       string `json:"phase"`
	Digest      string `json:"digest"`
	Status      int    `json:"status,omitempty"`
	ContentType string `json:"contentType,omitempty"`
	Encoding    string `json:"encoding,omitempty"`
	Body        []byte `json:"body,omitempty"`
	Omitted     bool   `json:"omitted,omitempty"`
}

var bookingPhaseNames = map[BookingPhase]string{
	BookingPending:  "pending",
	BookingRecorded: "recorded",
	BookingReleased: "released",
}

// EncodeBooking returns the JSON value of a booking row.
func EncodeBooking(b Booking) ([]byte, error) {
	value, err := json.Marshal(bookingWire{
		Phase:       bookingPhaseNames[b.Phase],
		Digest:      hex.EncodeToString(b.Digest[:]),
		Status:      b.Result.Status,
		ContentType: b.Result.ContentType,
		Encoding:    b.Result.ContentEncoding,
		Body:        b.Result.Body,
		Omitted:     b.Result.Omitted,
	})
	return value, Error.Wrap(err)
}

// DecodeBooking parses the JSON value of a booking row. A row that cannot be
// parsed must be treated as pending, since its request may have run.
func DecodeBooking(value []byte) (Booking, error) {
	var w bookingWire
	if err := json.Unmarshal(value, &w); err != nil {
		return Booking{}, Error.Wrap(err)
	}
	digest, err := decodeFingerprint(w.Digest)
	if err != nil {
		return Booking{}, err
	}
	b := Booking{
		Digest: digest,
		Result: Result{
			Status:          w.Status,
			ContentType:     w.ContentType,
			ContentEncoding: w.Encoding,
			Body:            w.Body,
			Omitted:         w.Omitted,
		},
	}
	for phase, name := range bookingPhaseNames {
		if name == w.Phase {
			b.Phase = phase
			return b, nil
		}
	}
	return Booking{}, Error.New("booking has unknown phase %q", w.Phase)
}

// evidenceWire is the JSON form of crash evidence, sent between nodes and stored
// in the table service.
type evidenceWire struct {
	Fingerprint string      `json:"fingerprint"`
	Crashes     []crashWire `json:"crashes"`
	// CompletedMS is the time since the request completed; nil if it is not known to
	// have.
	CompletedMS *int64 `json:"completedMs,omitempty"`
}

type crashWire struct {
	Group string `json:"group"`
	Epoch uint64 `json:"epoch"`
	Site  string `json:"site"`
	AgeMS int64  `json:"ageMs"`
}

// maxEvidenceCrashes is the maximum number of crashes in one decoded Evidence.
const maxEvidenceCrashes = 64

// EncodeEvidence returns evidence as JSON.
func EncodeEvidence(e Evidence) ([]byte, error) {
	w := evidenceWire{Fingerprint: hex.EncodeToString(e.Fingerprint[:])}
	for _, o := range e.Observations {
		w.Crashes = append(w.Crashes, crashWire{
			Group: o.Crash.Group,
			Epoch: o.Crash.Epoch,
			Site:  o.Crash.Site,
			AgeMS: o.Age.Milliseconds(),
		})
	}
	if e.Completed {
		age := e.CompletedAge.Milliseconds()
		w.CompletedMS = &age
	}
	value, err := json.Marshal(w)
	return value, Error.Wrap(err)
}

// DecodeEvidence parses evidence from JSON.
func DecodeEvidence(value []byte) (Evidence, error) {
	var w evidenceWire
	if err := json.Unmarshal(value, &w); err != nil {
		return Evidence{}, Error.Wrap(err)
	}
	f, err := decodeFingerprint(w.Fingerprint)
	if err != nil {
		return Evidence{}, err
	}
	if len(w.Crashes) > maxEvidenceCrashes {
		return Evidence{}, Error.New("evidence has %d crashes, the maximum is %d", len(w.Crashes), maxEvidenceCrashes)
	}
	e := Evidence{Fingerprint: f}
	if w.CompletedMS != nil {
		if *w.CompletedMS < 0 || *w.CompletedMS > maxObservationAge.Milliseconds() {
			return Evidence{}, Error.New("evidence has a completion with invalid age %d ms", *w.CompletedMS)
		}
		e.Completed, e.CompletedAge = true, millis(*w.CompletedMS)
	}
	for _, cr := range w.Crashes {
		if cr.Group == "" || cr.AgeMS < 0 || cr.AgeMS > maxObservationAge.Milliseconds() {
			return Evidence{}, Error.New("evidence has a crash without a group or with invalid age %d ms", cr.AgeMS)
		}
		e.Observations = append(e.Observations, CrashObservation{
			Crash: Crash{Group: cr.Group, Epoch: cr.Epoch, Site: cr.Site},
			Age:   millis(cr.AgeMS),
		})
	}
	return e, nil
}

func decodeFingerprint(s string) (Fingerprint, error) {
	var f Fingerprint
	raw, err := hex.DecodeString(s)
	if err != nil {
		return f, Error.Wrap(err)
	}
	if len(raw) != len(f) {
		return f, Error.Wrap(fmt.Errorf("fingerprint has %d bytes, want %d", len(raw), len(f)))
	}
	copy(f[:], raw)
	return f, nil
}
