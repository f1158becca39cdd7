// Package textlimit bounds generated texts: an engine in trouble may go on generating for ever.
package textlimit

// Bounds on texts.
const (
	// MaxBytes is the maximum size of a text: the result that contains it must fit into one value
	// of the store.
	MaxBytes = 900 << 10
	// MinLimit is the smallest limit on the size of a text, in bytes.
	MinLimit = 16 << 10
	// TokenBytes is the maximum size of a token, in bytes, on average over a text.
	TokenBytes = 256
)

// Bytes returns how many bytes a text of at most the given number of tokens may have. The number is
// not positive if it is unknown.
func Bytes(tokens int64) int {
	if tokens <= 0 {
		return MaxBytes
	}
	return max(MinLimit, TokenBytes*int(min(tokens, MaxBytes/TokenBytes)))
}
