package webserver

import (
	"bytes"
	"io"
	"net/http"
	"time"

	"knapweedwell/intake"
)

const (
	// maxBlankBytes is the size of the empty lines before a request that are skipped: some
	// callers send one after a body.
	maxBlankBytes = 4
	// headSlackBytes is added to the limit of a head, for its first line.
	headSlackBytes = 1 << 10
	// fieldBytes is about what a parsed field of a head takes beside its text.
	fieldBytes = 256
	// freeHeadBytes is the size up to which a parsed head is not counted: it is part of
	// what a connection takes.
	freeHeadBytes = 8 << 10
)

// isBlank reports whether the byte belongs to an empty line.
func isBlank(c byte) bool { return c == '\r' || c == '\n' }

// readHead reads until the head is complete and hands it on. A head that comes in one piece
// is handed on with the bytes of the body that came with it, and is not copied.
func (c *conn) readHead(p []byte) (int, error) {
	for {
		if c.ready {
			return c.handHead(p), nil
		}
		if len(c.data) > c.head.scanned {
			if err := c.scanStored(p); err != nil {
				return 0, err
			}
			continue
		}
		n, err := c.readRaw(p, false)
		if n == 0 {
			c.dropData()
			return 0, err
		}
		if len(c.data) == 0 {
			if n, err = c.readWhole(p, n); n > 0 || err != nil {
				return n, err
			}
			continue
		}
		if err := c.store(p, p[:n]); err != nil {
			return 0, err
		}
	}
}

// readWhole hands on a head of which p has the first n bytes, if it is complete. Otherwise it
// stores them and returns 0.
func (c *conn) readWhole(p []byte, n int) (int, error) {
	start, err := c.skipBlank(p, p[:n])
	if err != nil {
		return 0, err
	}
	if start > 0 {
		n = copy(p, p[start:n])
	}
	if n == 0 {
		return 0, nil
	}
	if err := c.scan(p, p[:n]); err != nil {
		return 0, err
	}
	if !c.ready {
		return 0, c.store(p, p[:n])
	}
	end := c.head.next
	k, err := c.framing.take(p[end:n])
	if err != nil {
		return 0, c.refuse(p, http.StatusBadRequest, intake.Malformed)
	}
	c.data = nil
	if end+k < n {
		c.data = bytes.Clone(p[end+k : n])
	}
	return end + k, c.headHanded()
}

// skipBlank returns the number of bytes of empty lines that the data begins with.
func (c *conn) skipBlank(p, data []byte) (int, error) {
	n := 0
	for n < len(data) && isBlank(data[n]) {
		n++
	}
	if c.blank += n; c.blank > maxBlankBytes {
		return 0, c.refuse(p, http.StatusBadRequest, intake.Malformed)
	}
	return n, nil
}

// scanStored scans the stored bytes.
func (c *conn) scanStored(p []byte) error {
	if c.handed == 0 && c.head.scanned == 0 {
		n, err := c.skipBlank(p, c.data)
		if err != nil {
			return err
		}
		if c.data = c.data[n:]; len(c.data) == 0 {
			c.dropData()
			return nil
		}
	}
	if err := c.scan(p, c.data); err != nil || c.ready {
		return err
	}
	return c.waitForHead()
}

// scan scans the bytes of the head that have come so far. It refuses the request if they are
// none, or too many.
func (c *conn) scan(p, data []byte) error {
	if c.head.scanned == 0 {
		c.headLimits = c.server.limits()
		if !tokenBytes[data[0]] {
			return c.refuse(p, http.StatusBadRequest, intake.Malformed)
		}
	}
	done, err := c.head.scan(data)
	size := c.head.scanned
	switch {
	case size > c.headLimits.HeaderBytes+headSlackBytes:
		return c.refuse(p, http.StatusRequestHeaderFieldsTooLarge, intake.LargeHead)
	case err != nil:
		return c.refuse(p, http.StatusBadRequest, intake.Malformed)
	case done:
		return c.headComplete(p)
	}
	return nil
}

// store keeps bytes of a head that is not complete.
func (c *conn) store(p, more []byte) error {
	if need := len(c.data) + len(more); need > cap(c.block) || len(c.data) == 0 {
		_, size := blockSize(need)
		if !c.input.Resize(int64(size)) {
			return c.refuse(p, http.StatusRequestHeaderFieldsTooLarge, intake.NoBytes)
		}
		block := append(newBlock(need), c.data...)
		c.dropData()
		c.block, c.data = block, block
	}
	c.data = append(c.data, more...)
	return c.waitForHead()
}

// dropData drops the stored bytes.
func (c *conn) dropData() {
	if c.block != nil {
		freeBlock(c.block)
	}
	c.block, c.data = nil, nil
}

// waitForHead sets the time for the rest of a head.
func (c *conn) waitForHead() error {
	if c.waiting {
		return nil
	}
	c.waiting = true
	now := time.Now()
	c.setState(now, intake.Waiting)
	return c.setReadDeadline(now.Add(c.headLimits.HeaderTimeout))
}

// headComplete prepares for the body and counts a large head for as long as its request
// lasts.
func (c *conn) headComplete(p []byte) error {
	if cost := c.head.next + c.head.fields*fieldBytes; cost > freeHeadBytes {
		if !c.input.Resize(int64(cost)) {
			return c.refuse(p, http.StatusRequestHeaderFieldsTooLarge, intake.NoBytes)
		}
		c.charged = true
	}
	c.framing = newFraming(&c.head)
	c.ready = true
	return nil
}

// handHead hands on the next bytes of a stored head.
func (c *conn) handHead(p []byte) int {
	n := copy(p, c.data[c.handed:c.head.next])
	if c.handed += n; c.handed < c.head.next {
		return n
	}
	rest := bytes.Clone(c.data[c.head.next:])
	c.dropData()
	if len(rest) > 0 {
		c.data = rest
	}
	if !c.charged {
		c.input.Free()
	}
	// If the input was dropped, the connection is closed and the next read fails.
	_ = c.headHanded()
	return n
}

// headHanded records that the whole head was handed on.
func (c *conn) headHanded() error {
	c.handed, c.blank, c.ready, c.waiting = 0, 0, false, false
	if c.framing.done() {
		return c.requestComplete()
	}
	c.phase.Store(int32(bodyPhase))
	c.setState(time.Now(), intake.Receiving)
	return nil
}

// requestComplete records that the whole request was handed on. It returns an error if the
// input was dropped.
func (c *conn) requestComplete() error {
	c.phase.Store(int32(handledPhase))
	c.setState(time.Now(), intake.Serving)
	if c.charged && !c.input.Pin() {
		return io.ErrUnexpectedEOF
	}
	return nil
}

// readBody reads bytes of the body, and none beyond it.
func (c *conn) readBody(p []byte) (int, error) {
	if c.framing.state == ended {
		p = p[:min(int64(len(p)), c.framing.left)]
	}
	n := copy(p, c.data)
	if n > 0 {
		if c.data = c.data[n:]; len(c.data) == 0 {
			c.data = nil
		}
	} else {
		var err error
		if n, err = c.readRaw(p, false); n == 0 {
			return 0, err
		}
	}
	k, err := c.framing.take(p[:n])
	if err != nil {
		c.server.Drops.Add(intake.Malformed)
		return 0, err
	}
	if k < n {
		c.data = append(bytes.Clone(p[k:n]), c.data...)
	}
	if c.framing.done() {
		return k, c.requestComplete()
	}
	return k, nil
}
