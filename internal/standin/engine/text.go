package engine

import (
	"encoding/binary"
	"regexp"
	"strconv"
	"strings"

	"github.com/cespare/xxhash/v2"

	protocol "github.com/comfreyfront/comfreyfront/internal/engine"
)

// CrashMarker crashes the engine that generates the first token for a prompt with this
// text.
const CrashMarker = "#crash"

// defaultMaxTokens is the token limit of a request that specifies none.
const defaultMaxTokens = 16

// tokenWords is the size of the vocabulary, in tokens.
const tokenWords = 36 * 36 * 36

var lengthMarker = regexp.MustCompile(`#tokens=(\d+)`)

// Length returns the number of tokens of a complete answer, and its finish reason. The
// answer to a prompt with the marker #tokens=N stops after N tokens; any other
// continues to the limit of its request.
func Length(prompt string, maxTokens int) (int, string) {
	if maxTokens <= 0 {
		maxTokens = defaultMaxTokens
	}
	match := lengthMarker.FindStringSubmatch(prompt)
	if match == nil {
		return maxTokens, "length"
	}
	natural, err := strconv.Atoi(match[1])
	if err != nil || natural > maxTokens {
		return maxTokens, "length"
	}
	return max(natural, 1), "stop"
}

// Base returns a hash of model, prompt and seed. The tokens of an answer depend on the
// hash, their position and their weight version.
func Base(model, prompt string, seed int64) uint64 {
	digest := xxhash.New()
	_, _ = digest.WriteString(model)
	_, _ = digest.WriteString("\x00")
	_, _ = digest.WriteString(prompt)
	_, _ = digest.Write(binary.LittleEndian.AppendUint64(nil, uint64(seed)))
	return digest.Sum64()
}

// Token returns the text of the token that a weight version generates at a position.
func Token(base uint64, position int, version int64) string {
	var input [24]byte
	binary.LittleEndian.PutUint64(input[:], base)
	binary.LittleEndian.PutUint64(input[8:], uint64(position))
	binary.LittleEndian.PutUint64(input[16:], uint64(version))
	return " " + strconv.FormatUint(xxhash.Sum64(input[:])%tokenWords, 36)
}

// Text returns the text of consecutive spans that start at the given token position.
func Text(base uint64, position int, spans []protocol.Span) string {
	var text strings.Builder
	for _, span := range spans {
		for range span.Tokens {
			text.WriteString(Token(base, position, span.WeightVersion))
			position++
		}
	}
	return text.String()
}
