package dispatch

import (
	"slices"
	"strings"

	"github.com/comfreyfront/comfreyfront/internal/engine"
)

// Progress is what was generated so far, and by which weight versions.
type Progress struct {
	Text         string
	Tokens       int
	Spans        []engine.Span
	FinishReason string
}

// builder collects pieces onto a progress.
type builder struct {
	text   strings.Builder
	tokens int
	spans  []engine.Span
	finish string
}

func newBuilder(from Progress) *builder {
	b := &builder{tokens: from.Tokens, spans: slices.Clone(from.Spans), finish: from.FinishReason}
	b.text.WriteString(from.Text)
	return b
}

func (b *builder) add(piece engine.CompletionChoice) {
	b.text.WriteString(piece.Text)
	b.tokens += piece.Tokens
	b.finish = piece.FinishReason
	if piece.Tokens <= 0 {
		return
	}
	last := len(b.spans) - 1
	if last >= 0 && b.spans[last].WeightVersion == piece.WeightVersion {
		b.spans[last].Tokens += piece.Tokens
		return
	}
	b.spans = append(b.spans, engine.Span{WeightVersion: piece.WeightVersion, Tokens: piece.Tokens})
}

func (b *builder) progress() Progress {
	return Progress{Text: b.text.String(), Tokens: b.tokens, Spans: b.spans, FinishReason: b.finish}
}

// oldest returns the lowest weight version in it, and whether there is one.
func (p *Progress) oldest() (int64, bool) {
	if len(p.Spans) == 0 {
		return 0, false
	}
	lowest := p.Spans[0].WeightVersion
	for _, span := range p.Spans {
		lowest = min(lowest, span.WeightVersion)
	}
	return lowest, true
}

// tooOld reports whether a part of it is below the version.
func (p *Progress) tooOld(minVersion int64) bool {
	lowest, any := p.oldest()
	return any && lowest < minVersion
}
