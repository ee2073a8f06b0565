package enginestandin

import (
	"encoding/binary"
	"strconv"
	"strings"

	"github.com/cespare/xxhash/v2"
)

// vocabulary lists the words that Token chooses from.
var vocabulary = [...]string{
	"amber", "birch", "cedar", "delta", "ember", "fjord", "glade", "heron",
	"inlet", "jetty", "knoll", "lagoon", "maple", "north", "ocean", "pearl",
}

const (
	// minTokens is the length of the shortest answer without a limit, in tokens.
	minTokens = 8
	// lengthCount is the number of possible answer lengths.
	lengthCount = 24
)

// Token returns token i of the answer to prompt with seed: a word chosen by the
// xxhash of the prompt, the seed and i, followed by i. It is a pure function, so
// tests can compute the expected answer.
func Token(prompt string, seed int64, i int) string {
	h := promptHash(prompt, seed)
	var b [16]byte
	binary.LittleEndian.PutUint64(b[:8], h)
	binary.LittleEndian.PutUint64(b[8:], uint64(i))
	word := vocabulary[xxhash.Sum64(b[:])%uint64(len(vocabulary))]
	return word + strconv.Itoa(i) + " "
}

// Length returns the number of tokens in the answer to prompt with seed:
// limit if it is positive, otherwise a number from 8 to 31 derived from the hash
// of the prompt and the seed.
func Length(prompt string, seed int64, limit int) int {
	if limit > 0 {
		return limit
	}
	return minTokens + int(promptHash(prompt, seed)%lengthCount)
}

// Text returns the complete answer to prompt with seed, limited as in Length.
func Text(prompt string, seed int64, limit int) string {
	var text strings.Builder
	for i := range Length(prompt, seed, limit) {
		text.WriteString(Token(prompt, seed, i))
	}
	return text.String()
}

func promptHash(prompt string, seed int64) uint64 {
	return xxhash.Sum64String(strconv.FormatInt(seed, 10) + "\x00" + prompt)
}
