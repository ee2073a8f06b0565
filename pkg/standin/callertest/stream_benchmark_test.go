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

// streamChunk is a server-sent event of the typical size of a chunk in a stream,
// without its ID.
const streamChunk = `data: {"id":"cmpl-3d4c4388-1cec-4ea1-b72c-da1aa834a7e3","object":"chat.completion.chunk","created":1796364194,"model":"demo","choices":[{"index":0,"delta":{"role":"assistant","content":"amber2 "},"finish_reason":null}]}` + "\n\n"

// streamFixture has an engine that writes a prepared stream, behind the gateway
// and behind a proxy that only copies. The proxy is the baseline for the overhead
// of the gateway.
type streamFixture struct {
	*fixture
	proxy *httptest.Server
}

// newStreamFixture returns a fixture whose engine streams answers of the given
// number of tokens. It flushes after each write of tokensPerWrite tokens, then
// waits for interval.
func newStreamFixture(b testing.TB, tokens, tokensPerWrite int, interval time.Duration) *streamFixture {
	f := newFixture(b, fixtureConfig{nodes: 1, groups: 1, gateway: func(c *caller.Config) {
		c.Picker = caller.NewSchedulerPicker(caller.SchedulerPickerConfig{View: c.View, Clock: c.Clock, Seed: 1})
	}})
	identity := fleet.Identity{Member: "g0-0", Boot: "1", Group: "g0", Epoch: 1, Model: "demo", Version: "1"}
	var writes []string
	for i := 0; i < tokens; i += tokensPerWrite {
		var events strings.Builder
		for j := i; j < min(tokens, i+tokensPerWrite); j++ {
			fmt.Fprintf(&events, "id: %d+1\n%s", j, streamChunk)
		}
		writes = append(writes, events.String())
	}
	handler := http.HandlerFunc(func(w http.ResponseWriter, q *http.Request) {
		enginewire.SetIdentity(w.Header(), identity)
		w.Header().Set(enginewire.HeaderAttempt, q.Header.Get(enginewire.HeaderAttempt))
		w.Header().Set("Content-Type", "text/event-stream")
		for _, p := range writes {
			if _, err := io.WriteString(w, p); err != nil {
				return
			}
			w.(http.Flusher).Flush()
			if interval > 0 {
				<-f.clock.After(interval)
			}
		}
		_, _ = io.WriteString(w, "data: [DONE]\n\n")
	})
	f.groups[0].members[0].Config.Handler = handler
	target := "http://" + f.groups[0].members[0].Listener.Addr().String()
	transport := &http.Transport{MaxIdleConnsPerHost: 2000, DisableCompression: true}
	proxy := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, q *http.Request) {
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
	b.Cleanup(proxy.Close)
	return &streamFixture{fixture: f, proxy: proxy}
}

// url returns the base URL for a path to the engine: through the gateway, through
// the copying proxy, or direct.
func (f *streamFixture) url(path string) string {
	switch path {
	case "gateway":
		return f.nodes[0].URL
	case "copy":
		return f.proxy.URL
	default:
		return f.groups[0].members[0].URL
	}
}

// readStream sends a request and discards the stream. It returns the time to the
// first byte of the body.
func readStream(client *http.Client, url, body string) (time.Duration, error) {
	start := time.Now()
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
	first := time.Since(start)
	_, err = io.Copy(io.Discard, response.Body)
	return first, err
}

// newStreamClient returns a client that reuses up to streams connections.
func newStreamClient(streams int) *http.Client {
	return &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: streams, DisableCompression: true}}
}

// cpuTime returns the user and system CPU time of this process.
func cpuTime() time.Duration {
	var u syscall.Rusage
	_ = syscall.Getrusage(syscall.RUSAGE_SELF, &u)
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}

// BenchmarkTokens measures the CPU time and the allocations for each token of
// 1,000 concurrent streams. Client and engine run in the same process, so their
// share, measured by direct streams, is subtracted.
func BenchmarkTokens(b *testing.B) {
	const streams, tokens = 1000, 400
	for _, pace := range []struct {
		name           string
		tokensPerWrite int
		interval       time.Duration
	}{{"flat out", 1, 0}, {"8 at a time", 8, 0}, {"every 20 ms", 1, 20 * time.Millisecond}} {
		f := newStreamFixture(b, tokens, pace.tokensPerWrite, pace.interval)
		body, _ := chat("p", true, tokens)
		perToken := map[string]float64{}
		allocations := map[string]float64{}
		for _, path := range []string{"direct", "copy", "gateway"} {
			b.Run(pace.name+"/"+path, func(b *testing.B) {
				client := newStreamClient(streams)
				defer client.CloseIdleConnections()
				var before, after runtime.MemStats
				runtime.ReadMemStats(&before)
				start := cpuTime()
				for b.Loop() {
					var wg sync.WaitGroup
					for range streams {
						wg.Go(func() {
							if _, err := readStream(client, f.url(path), body); err != nil {
								b.Error(err)
							}
						})
					}
					wg.Wait()
				}
				total := float64(b.N) * streams * tokens
				perToken[path] = float64(cpuTime()-start) / total
				runtime.ReadMemStats(&after)
				allocations[path] = float64(after.Mallocs-before.Mallocs) / total
				b.ReportMetric(perToken[path], "cpu-ns/token")
				if path == "direct" {
					return
				}
				overhead := perToken[path] - perToken["direct"]
				b.ReportMetric(1e9/overhead, "tokens/s/core")
				b.ReportMetric(allocations[path]-allocations["direct"], "allocs/token")
				if path == "gateway" {
					b.ReportMetric(100*(perToken["copy"]-perToken["direct"])/overhead, "%ofcopy")
				}
			})
		}
	}
}

// BenchmarkFirstToken measures the time to the first token of sequential requests.
func BenchmarkFirstToken(b *testing.B) {
	f := newStreamFixture(b, 1, 1, 0)
	body, _ := chat(strings.Repeat("word ", 400), true, 1)
	for _, path := range []string{"direct", "copy", "gateway"} {
		b.Run(path, func(b *testing.B) {
			client := newStreamClient(1)
			defer client.CloseIdleConnections()
			var times []time.Duration
			for b.Loop() {
				first, err := readStream(client, f.url(path), body)
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

// BenchmarkOpenStreams measures the memory of each of 1,000 open streams, less the
// memory of client and engine, which direct streams measure.
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

// openStreams returns the bytes of memory for each open stream on path.
func openStreams(b *testing.B, path string, streams int) float64 {
	f := newStreamFixture(b, 4, 1, 500*time.Millisecond)
	client := newStreamClient(streams)
	defer client.CloseIdleConnections()
	body, _ := chat("p", true, 4)
	before := memoryInUse()
	var open, done sync.WaitGroup
	open.Add(streams)
	for range streams {
		done.Go(func() {
			request, err := http.NewRequest(http.MethodPost, f.url(path)+chatPath, strings.NewReader(body))
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
	growth := memoryInUse() - before
	done.Wait()
	return float64(growth) / float64(streams)
}

// memoryInUse returns the bytes of heap objects and stacks after a collection.
func memoryInUse() int64 {
	runtime.GC()
	samples := []metrics.Sample{{Name: "/memory/classes/heap/objects:bytes"}, {Name: "/memory/classes/heap/stacks:bytes"}}
	metrics.Read(samples)
	return int64(samples[0].Value.Uint64() + samples[1].Value.Uint64())
}
