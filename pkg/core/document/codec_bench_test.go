package document_test

import (
	"fmt"
	"strings"
	"testing"

	"almondbay.example/core/document"
)

// largeDocument returns a document with the given numbers of workspaces and
// models.
func largeDocument(workspaces, models int) []byte {
	var body strings.Builder
	body.WriteString("{\"models\": [\n")
	for i := range models {
		fmt.Fprintf(&body, "{\"name\": \"model-%d\", \"version\": \"v1\", \"groups\": 20, \"span\": 4, \"spares\": 1},\n", i)
	}
	body.WriteString("],\n\"workspaces\": [\n")
	for i := range workspaces {
		fmt.Fprintf(&body, "{\"name\": \"workspace-%d\", \"keyHashes\": [\"%064x\"], \"share\": 1,\n"+
			"\t\"objective\": {\"firstToken\": \"2s\", \"betweenToken\": \"45ms\", \"target\": 0.95}},\n", i, i)
	}
	body.WriteString("]}")
	return []byte(body.String())
}

// BenchmarkParse measures the decoding and validation of a document, which each
// node does once per revision.
func BenchmarkParse(b *testing.B) {
	for _, workspaces := range []int{10, 100, 1000, 4000} {
		body := largeDocument(workspaces, workspaces/10)
		b.Run(fmt.Sprintf("%dworkspaces", workspaces), func(b *testing.B) {
			b.ReportMetric(float64(len(body)), "bytes")
			b.ReportAllocs()
			for b.Loop() {
				if _, faults := document.Parse("d", body); len(faults) > 0 {
					b.Fatal(faults)
				}
			}
		})
	}
}
