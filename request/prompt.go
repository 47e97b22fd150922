package request

// Part is a part of a prompt that other requests may share.
type Part struct {
	ID     uint64 // the same for equal parts
	Tokens int
}

// Prompt describes the prompt of a request without its text.
type Prompt struct {
	Parts           []Part // in order; the last belongs to this request or its session only
	Tokens          int    // length of the whole prompt
	MaxOutputTokens int    // largest number of tokens of the answer
}

// Shared returns the parts that other requests may share.
func (p *Prompt) Shared() []Part {
	if len(p.Parts) < 2 {
		return nil
	}
	return p.Parts[:len(p.Parts)-1]
}
