package enginestandin

import (
	"encoding/binary"
	"strconv"
	"strings"

	"github.com/cespare/xxhash/v2"
)

// vocabulary holds the words that Token draws from.
var vocabulary = [...]string{
	"amber", "birch", "cedar", "delta", "ember", "fjord", "glade", "heron",
	"inlet", "jetty", "knoll", "lagoon", "maple", "north", "ocean", "pearl",
}

const (
	// minTokens is the shortest answer, in tokens.
	minTokens = 8
	// spreadTokens is the number of distinct lengths of an answer.
	spreadTokens = 24
)

// Token returns token i of the answer to prompt with seed. It is a pure
// function: a word of the vocabulary, chosen by the xxhash of the prompt, the
// seed and i, and the index.
func Token(prompt string, seed int64, i int) string {
	h := promptHash(prompt, seed)
	var b [16]byte
	binary.LittleEndian.PutUint64(b[:8], h)
	binary.LittleEndian.PutUint64(b[8:], uint64(i))
	word := vocabulary[xxhash.Sum64(b[:])%uint64(len(vocabulary))]
	return word + strconv.Itoa(i) + " "
}

// Length returns the number of tokens in the answer to prompt with seed:
// exactly limit when it is above zero, else a number from 8 to 31 chosen by
// the hash of the prompt and the seed.
func Length(prompt string, seed int64, limit int) int {
	if limit > 0 {
		return limit
	}
	return minTokens + int(promptHash(prompt, seed)%spreadTokens)
}

// Text returns the whole answer to prompt with seed.
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
