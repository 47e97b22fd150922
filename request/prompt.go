package request

// Part is a part of a prompt that other requests may share.
type Part struct {
	ID     uint64 // ID is the same for equal parts.
	Tokens int
}

// Prompt is what a request says of its prompt without showing it.
type Prompt struct {
	Parts     []Part // Parts are in order; the last is the request's own or its session's.
	Tokens    int    // Tokens counts the whole prompt.
	MaxOutput int    // MaxOutput is the most tokens of the answer.
}

// Shared returns the parts that other requests may share.
func (p *Prompt) Shared() []Part {
	if len(p.Parts) < 2 {
		return nil
	}
	return p.Parts[:len(p.Parts)-1]
}
