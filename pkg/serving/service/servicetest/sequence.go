package servicetest

// Call is one call of a sequence.
type Call struct {
	// Key names the call; calls with the same key are the same request, repeated by
	// its caller.
	Key string
	// Action is what the server does with it.
	Action Action
}

// Sequence is a sequence of calls, the last of which comes with copies.
type Sequence struct {
	Name  string
	Calls []Call
}

// Sequences returns the sequences in which a copy may come.
func Sequences() []Sequence {
	rejected := Action{Rejects: true}
	repeats := Action{Repeats: true}
	return []Sequence{
		{"first send", []Call{{"x", repeats}}},
		{"other request next", []Call{{"x", rejected}, {"y", repeats}}},
		{"same request next", []Call{{"x", rejected}, {"x", repeats}}},
		{"same request two later", []Call{{"x", rejected}, {"y", Action{}}, {"x", repeats}}},
		{"same request rejected twice", []Call{{"x", rejected}, {"x", rejected}, {"x", repeats}}},
		{"copy and another rejection", []Call{{"x", rejected}, {"x", Action{Rejects: true, Repeats: true}}, {"x", repeats}}},
	}
}
