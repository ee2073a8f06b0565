package explain

import (
	"bufio"
	"encoding/json"
	"fmt"
	"io"
	"slices"
	"strings"
	"time"
)

// commonWire holds the fields that every line of a node's log has.
type commonWire struct {
	TS    float64 `json:"ts"`
	Event int     `json:"event"`
	Msg   string  `json:"msg"`
}

// maxLineBytes limits the length of a line. The line of a request with all its
// tries takes a few thousand bytes.
const maxLineBytes = 1 << 20

// Read reads the log with the given name. It skips lines without JSON. The last
// word before a line's JSON is its origin, and without one the log's name.
func (l *Logs) Read(name string, r io.Reader) error {
	scanner := bufio.NewScanner(r)
	scanner.Buffer(nil, maxLineBytes)
	for scanner.Scan() {
		prefix, _, found := strings.Cut(scanner.Text(), "{")
		if !found {
			continue
		}
		line, ok := decodeLine(scanner.Bytes()[len(prefix):])
		if !ok {
			continue
		}
		line.Origin = name
		if words := strings.Fields(prefix); len(words) > 0 {
			line.Origin = words[len(words)-1]
		}
		l.add(line)
	}
	if err := scanner.Err(); err != nil {
		return Error.New("read log %s: %w", name, err)
	}
	return nil
}

// decodeLine decodes a line and returns false if it isn't a JSON object or a
// common field has the wrong type.
func decodeLine(body []byte) (Line, bool) {
	var common commonWire
	if err := json.Unmarshal(body, &common); err != nil {
		return Line{}, false
	}
	fields := map[string]any{}
	if err := json.Unmarshal(body, &fields); err != nil {
		return Line{}, false
	}
	line := Line{At: time.UnixMicro(int64(common.TS * 1e6)), Event: common.Event, Message: common.Msg}
	for name, value := range fields {
		switch name {
		case "ts", "event", "msg", "level":
		default:
			line.Fields = append(line.Fields, Field{Name: name, Value: fmt.Sprint(value)})
		}
	}
	slices.SortFunc(line.Fields, func(a, b Field) int { return strings.Compare(a.Name, b.Name) })
	return line, true
}
