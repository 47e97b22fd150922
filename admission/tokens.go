package admission

import "knapweedwell/request"

const (
	bytesPerToken       = 4    // of a prompt whose length is not stated
	defaultOutputTokens = 1024 // of an answer whose length is not stated
	// hintFactor is the multiple of the expected length that an answer without a stated bound
	// is assumed to have: the expectation is right at the median only.
	hintFactor     = 8
	maxTokensCount = 1 << 30 // larger counts are treated as this one, so that sums do not overflow
)

// WithTokens returns a prompt with the tokens that an upstream is assumed to hold for it. A
// count that is missing, zero or negative is replaced: the length of the prompt by that of its
// parts or, without any, by a quarter of the bytes of the body; the length of the answer by a
// multiple of the hint or, without one, by defaultOutputTokens.
func WithTokens(p request.Prompt, lengthHint, bodyBytes int) request.Prompt {
	inParts := 0
	for _, part := range p.Parts {
		inParts = bounded(inParts + bounded(part.Tokens))
	}
	p.Tokens = max(bounded(p.Tokens), inParts)
	if p.Tokens == 0 {
		p.Tokens = 1 + bodyBytes/bytesPerToken
	}
	switch {
	case p.MaxOutputTokens > 0:
		p.MaxOutputTokens = bounded(p.MaxOutputTokens)
	case lengthHint > 0:
		p.MaxOutputTokens = bounded(hintFactor * bounded(lengthHint))
	default:
		p.MaxOutputTokens = defaultOutputTokens
	}
	return p
}

func bounded(tokens int) int {
	return min(max(tokens, 0), maxTokensCount)
}

// Held returns the tokens that an upstream holds at most for a prompt from WithTokens.
func Held(p *request.Prompt) int {
	return p.Tokens + p.MaxOutputTokens
}
