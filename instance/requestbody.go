package instance

import (
	"bytes"
	"errors"
	"io"
	"net/http"
	"sync"
	"sync/atomic"

	"azurestair.example/azurestair"
	"azurestair.example/azurestair/caller"
)

const (
	// streamBodyAbove is the size above which a body of known length is
	// forwarded while it is being received, unless the ledger needs it whole.
	streamBodyAbove = 16 << 10
	// replayLimit is how much of a streamed body is kept, so that the request
	// can be sent to another upstream if the first one refuses it.
	replayLimit = 512 << 10
	// maxBodyMemory bounds the bodies that an entry keeps, however many
	// requests are in progress and however large their bodies are.
	maxBodyMemory = 48 << 20
	// bodyReadSize is the size in which a body of unknown length is read.
	bodyReadSize = 32 << 10
)

// bodyMemory counts the memory for request bodies. The zero value has
// maxBodyMemory available. It is safe for concurrent use.
type bodyMemory struct{ used atomic.Int64 }

// reserve reports whether n more bytes are available, and takes them.
func (m *bodyMemory) reserve(n int64) bool {
	if m.used.Add(n) <= maxBodyMemory {
		return true
	}
	m.used.Add(-n)
	return false
}

func (m *bodyMemory) release(n int64) { m.used.Add(-n) }

// requestBody is the body of a request. It is either held as a whole or
// streamed.
type requestBody struct {
	memory *bodyMemory
	// reserved is the memory that is taken from memory.
	reserved int64
	// data is the whole body if stream is nil.
	data   []byte
	stream *replayableStream
	length int64
}

// close releases the memory of the body.
func (b *requestBody) close() {
	if b.memory != nil {
		b.memory.release(b.reserved)
		b.reserved = 0
	}
}

func (b *requestBody) reserve(n int64) bool {
	if !b.memory.reserve(n) {
		return false
	}
	b.reserved += n
	return true
}

// attempt returns the body for one attempt.
func (b *requestBody) attempt() io.Reader {
	if b.stream != nil {
		return b.stream.reader()
	}
	return bytes.NewReader(b.data)
}

// rewind reports whether the body can be sent once more, after an attempt that
// has ended.
func (b *requestBody) rewind() bool { return b.stream == nil || b.stream.rewind() }

// received returns how many bytes of the body have come from the caller.
func (b *requestBody) received() azurestair.Bytes {
	if b.stream != nil {
		return azurestair.Bytes(b.stream.received.Load())
	}
	return azurestair.Bytes(len(b.data))
}

// errBodyMemory reports that the bodies of other requests use all memory.
var errBodyMemory = errors.New("no memory for the request body")

// readAll reads a body of up to limit bytes.
func (b *requestBody) readAll(r io.Reader, limit int64) error {
	var data bytes.Buffer
	for {
		if !b.reserve(bodyReadSize) {
			return errBodyMemory
		}
		n, err := io.CopyN(&data, r, bodyReadSize)
		switch {
		case int64(data.Len()) > limit:
			return azurestair.ErrTooLarge
		case errors.Is(err, io.EOF):
			b.data, b.length = data.Bytes(), int64(data.Len())
			b.memory.release(bodyReadSize - n)
			b.reserved -= bodyReadSize - n
			return nil
		case err != nil:
			return err
		}
	}
}

// startStream makes the body be forwarded while it is received. If there is
// memory, its beginning is kept for a further attempt.
func (b *requestBody) startStream(r io.Reader, length int64) {
	keep := min(length, replayLimit)
	if !b.reserve(keep) {
		keep = 0
	}
	b.stream, b.length = &replayableStream{source: io.LimitReader(r, length), limit: int(keep)}, length
}

// replayableStream is a body that is read once from its source and keeps what
// has been read, up to a limit. Only the newest reader returns data; an earlier
// one may still wait for the source, and what it then gets is kept for the
// newest.
type replayableStream struct {
	mu     sync.Mutex
	source io.Reader
	// received counts the bytes that the source has returned.
	received atomic.Int64
	limit    int
	kept     []byte
	// incomplete is true once more than limit bytes have been read.
	incomplete bool
	// sourceErr is the error that ended the source.
	sourceErr error
	newest    *streamReader
}

func (s *replayableStream) reader() io.Reader {
	r := &streamReader{stream: s}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.newest = r
	return r
}

// rewind reports whether a new reader can return the body from its start. If so,
// earlier readers return nothing more: one that still sends the body of an
// attempt that has ended would take away what the new reader needs.
func (s *replayableStream) rewind() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.incomplete {
		s.newest = nil
	}
	return !s.incomplete
}

// streamReader reads a replayableStream from its start.
type streamReader struct {
	stream *replayableStream
	read   int
}

var errStaleReader = errors.New("the body is being sent to another upstream")

// Read implements io.Reader.
func (r *streamReader) Read(p []byte) (int, error) {
	s := r.stream
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.newest != r {
		return 0, errStaleReader
	}
	if r.read < len(s.kept) {
		n := copy(p, s.kept[r.read:])
		r.read += n
		return n, nil
	}
	if s.sourceErr != nil {
		return 0, s.sourceErr
	}
	n, err := s.source.Read(p)
	s.received.Add(int64(n))
	s.sourceErr = err
	if len(s.kept)+n > s.limit {
		s.kept, s.incomplete = nil, true
	}
	if !s.incomplete {
		s.kept = append(s.kept, p[:n]...)
	}
	r.read += n
	return n, err
}

// readBody prepares the body of the request, up to the limit of the operation.
func (c *call) readBody() azurestair.Reason {
	limit := int64(c.op.BodyLimit())
	c.body = requestBody{memory: &c.entry.bodyMemory}
	switch {
	case c.req.BodyLen > limit:
		return azurestair.ReasonBodyTooLarge
	case c.req.Body == nil || c.req.BodyLen == 0:
		return azurestair.ReasonNone
	case c.req.BodyLen > streamBodyAbove && (c.op.Idempotent || c.isUnkeyed()):
		c.body.startStream(c.req.Body, c.req.BodyLen)
		return azurestair.ReasonNone
	}
	err := c.body.readAll(c.req.Body, limit)
	switch {
	case err == nil:
		return azurestair.ReasonNone
	case errors.Is(err, azurestair.ErrTooLarge):
		return azurestair.ReasonBodyTooLarge
	case errors.Is(err, errBodyMemory):
		return azurestair.ReasonQueueFull
	}
	return bodyErrorReason(err)
}

func bodyErrorReason(err error) azurestair.Reason {
	var tooLarge *http.MaxBytesError
	if errors.As(err, &tooLarge) {
		return azurestair.ReasonBodyTooLarge
	}
	return azurestair.ReasonBadRequest
}

// bodyReply returns the reply to a request whose body could not be read.
func bodyReply(reason azurestair.Reason) caller.Reply {
	if reason == azurestair.ReasonQueueFull {
		return refusedReply(reason)
	}
	return invalidReply(reason)
}
