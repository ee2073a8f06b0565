package callertest

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"runtime"
	"runtime/metrics"
	"slices"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"almondbay.example/core/fleet"
	"almondbay.example/serving/caller"
	"almondbay.example/serving/engine/enginewire"
)

// speedEvent has the size of a usual chunk of a streamed answer.
const speedEvent = `data: {"id":"cmpl-3d4c4388-1cec-4ea1-b72c-da1aa834a7e3","object":"chat.completion.chunk","created":1796364194,"model":"demo","choices":[{"index":0,"delta":{"role":"assistant","content":"amber2 "},"finish_reason":null}]}` + "\n\n"

// speedRig has engines that write prepared streams, before the gateway and
// before a handler that only copies.
type speedRig struct {
	*rig
	copier *httptest.Server
}

// newSpeedRig has engines send answers of that many tokens, so many tokens at
// a time, with a pause between.
func newSpeedRig(b testing.TB, tokens, together int, pause time.Duration) *speedRig {
	r := newRig(b, rigConfig{nodes: 1, groups: 1, gateway: func(c *caller.Config) {
		c.Picker = caller.NewSchedulerPicker(caller.SchedulerPickerConfig{View: c.View, Clock: c.Clock, Seed: 1})
	}})
	identity := fleet.Identity{Member: "g0-0", Boot: "1", Group: "g0", Epoch: 1, Model: "demo", Version: "1"}
	var pieces []string
	for i := 0; i < tokens; i += together {
		var piece strings.Builder
		for j := i; j < min(tokens, i+together); j++ {
			fmt.Fprintf(&piece, "id: %d+1\n%s", j, speedEvent)
		}
		pieces = append(pieces, piece.String())
	}
	handler := http.HandlerFunc(func(w http.ResponseWriter, q *http.Request) {
		enginewire.SetIdentity(w.Header(), identity)
		w.Header().Set(enginewire.HeaderAttempt, q.Header.Get(enginewire.HeaderAttempt))
		w.Header().Set("Content-Type", "text/event-stream")
		for _, p := range pieces {
			if _, err := io.WriteString(w, p); err != nil {
				return
			}
			w.(http.Flusher).Flush()
			if pause > 0 {
				<-r.clock.After(pause) // The pace of the engine.
			}
		}
		_, _ = io.WriteString(w, "data: [DONE]\n\n")
	})
	r.groups[0].members[0].Config.Handler = handler
	target := "http://" + r.groups[0].members[0].Listener.Addr().String()
	transport := &http.Transport{MaxIdleConnsPerHost: 2000, DisableCompression: true}
	copier := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, q *http.Request) {
		out, err := http.NewRequestWithContext(q.Context(), q.Method, target+q.URL.Path, q.Body)
		if err != nil {
			return
		}
		response, err := transport.RoundTrip(out)
		if err != nil {
			return
		}
		defer func() { _ = response.Body.Close() }()
		w.Header().Set("Content-Type", response.Header.Get("Content-Type"))
		w.WriteHeader(response.StatusCode)
		buffer := make([]byte, 4<<10)
		for {
			n, err := response.Body.Read(buffer)
			_, _ = w.Write(buffer[:n])
			w.(http.Flusher).Flush()
			if err != nil {
				return
			}
		}
	}))
	b.Cleanup(copier.Close)
	return &speedRig{rig: r, copier: copier}
}

// url returns where to send requests: through the gateway, the copier, or to
// the engine itself.
func (r *speedRig) url(path string) string {
	switch path {
	case "gateway":
		return r.nodes[0].URL
	case "copy":
		return r.copier.URL
	default:
		return r.groups[0].members[0].URL
	}
}

// speedClient reads a stream and throws it away. It returns the time to the
// first byte of the body.
func speedClient(client *http.Client, url, body string) (time.Duration, error) {
	begun := time.Now()
	request, err := http.NewRequestWithContext(context.Background(), http.MethodPost, url+chatPath, strings.NewReader(body))
	if err != nil {
		return 0, err
	}
	request.Header.Set("Authorization", "Bearer "+key)
	response, err := client.Do(request)
	if err != nil {
		return 0, err
	}
	defer func() { _ = response.Body.Close() }()
	var one [1]byte
	if _, err := io.ReadFull(response.Body, one[:]); err != nil {
		return 0, err
	}
	first := time.Since(begun)
	_, err = io.Copy(io.Discard, response.Body)
	return first, err
}

func speedPool(streams int) *http.Client {
	return &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: streams, DisableCompression: true}}
}

func processorTime() time.Duration {
	var u syscall.Rusage
	_ = syscall.Getrusage(syscall.RUSAGE_SELF, &u)
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}

// BenchmarkTokens streams over 1,000 connections. The processor time of client
// and engine, measured by streams without anything between, is taken off.
func BenchmarkTokens(b *testing.B) {
	const streams, tokens = 1000, 400
	for _, pace := range []struct {
		name     string
		together int
		pause    time.Duration
	}{{"flat out", 1, 0}, {"8 at a time", 8, 0}, {"every 20 ms", 1, 20 * time.Millisecond}} {
		r := newSpeedRig(b, tokens, pace.together, pace.pause)
		body, _ := chat("p", true, tokens)
		perToken := map[string]float64{}
		allocations := map[string]float64{}
		for _, path := range []string{"direct", "copy", "gateway"} {
			b.Run(pace.name+"/"+path, func(b *testing.B) {
				client := speedPool(streams)
				defer client.CloseIdleConnections()
				var before, after runtime.MemStats
				runtime.ReadMemStats(&before)
				begun := processorTime()
				for b.Loop() {
					var wg sync.WaitGroup
					for range streams {
						wg.Go(func() {
							if _, err := speedClient(client, r.url(path), body); err != nil {
								b.Error(err)
							}
						})
					}
					wg.Wait()
				}
				total := float64(b.N) * streams * tokens
				perToken[path] = float64(processorTime()-begun) / total
				runtime.ReadMemStats(&after)
				allocations[path] = float64(after.Mallocs-before.Mallocs) / total
				b.ReportMetric(perToken[path], "cpu-ns/token")
				if path == "direct" {
					return
				}
				own := perToken[path] - perToken["direct"]
				b.ReportMetric(1e9/own, "tokens/s/core")
				b.ReportMetric(allocations[path]-allocations["direct"], "allocs/token")
				if path == "gateway" {
					b.ReportMetric(100*(perToken["copy"]-perToken["direct"])/own, "%ofcopy")
				}
			})
		}
	}
}

// BenchmarkFirstToken measures the time to the first token of requests one
// after the other.
func BenchmarkFirstToken(b *testing.B) {
	r := newSpeedRig(b, 1, 1, 0)
	body, _ := chat(strings.Repeat("word ", 400), true, 1)
	for _, path := range []string{"direct", "copy", "gateway"} {
		b.Run(path, func(b *testing.B) {
			client := speedPool(1)
			defer client.CloseIdleConnections()
			var times []time.Duration
			for b.Loop() {
				first, err := speedClient(client, r.url(path), body)
				if err != nil {
					b.Fatal(err)
				}
				times = append(times, first)
			}
			slices.Sort(times)
			b.ReportMetric(float64(times[len(times)/2].Microseconds()), "p50-us")
			b.ReportMetric(float64(times[len(times)*99/100].Microseconds()), "p99-us")
		})
	}
}

// BenchmarkOpenStreams measures the memory that 1,000 open streams take up
// beyond what client and engine need without anything between.
func BenchmarkOpenStreams(b *testing.B) {
	const streams = 1000
	perStream := map[string]float64{}
	for _, path := range []string{"direct", "copy", "gateway"} {
		b.Run(path, func(b *testing.B) {
			for b.Loop() {
				perStream[path] = openStreams(b, path, streams)
			}
			if path != "direct" {
				b.ReportMetric((perStream[path]-perStream["direct"])/1024, "KB/stream")
			}
		})
	}
}

func openStreams(b *testing.B, path string, streams int) float64 {
	r := newSpeedRig(b, 4, 1, 500*time.Millisecond)
	client := speedPool(streams)
	defer client.CloseIdleConnections()
	body, _ := chat("p", true, 4)
	before := memoryInUse()
	var open, done sync.WaitGroup
	open.Add(streams)
	for range streams {
		done.Go(func() {
			request, err := http.NewRequest(http.MethodPost, r.url(path)+chatPath, strings.NewReader(body))
			if err != nil {
				b.Error(err)
			}
			request.Header.Set("Authorization", "Bearer "+key)
			response, err := client.Do(request)
			open.Done()
			if err != nil {
				b.Error(err)
				return
			}
			_, _ = io.Copy(io.Discard, response.Body)
			_ = response.Body.Close()
		})
	}
	open.Wait()
	used := memoryInUse() - before
	done.Wait()
	return float64(used) / float64(streams)
}

// memoryInUse returns the bytes of live heap and stacks.
func memoryInUse() int64 {
	runtime.GC()
	samples := []metrics.Sample{{Name: "/memory/classes/heap/objects:bytes"}, {Name: "/memory/classes/heap/stacks:bytes"}}
	metrics.Read(samples)
	return int64(samples[0].Value.Uint64() + samples[1].Value.Uint64())
}
