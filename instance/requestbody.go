package instance

import (
	"bytes"
	"context"
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
	// wholeBodyLimit is the part of a body of unknown length that is received
	// before it is forwarded. A body over a limit up to that size is refused
	// before an upstream receives any of it; the memory of the smallest machine,
	// 136 MB, allows for eight such bodies.
	wholeBodyLimit = 4 << 20
	// Bodies that are held as a whole are read into chunks. The first has
	// minBodyChunk bytes, each further one twice the size of the one before, up
	// to maxBodyChunk, so that what is held is at most twice what has arrived.
	minBodyChunk = 2 << 10
	maxBodyChunk = 32 << 10
)

// requestBody is the body of a request. It is either held as a whole or
// streamed.
type requestBody struct {
	// holder holds the memory of the body and of the response; nil for a body
	// that holds none.
	holder *memoryHolder
	// chunks is the whole body if stream is nil.
	chunks [][]byte
	stream *replayableStream
	length int64
}

// close releases the memory of the request.
func (b *requestBody) close() {
	if b.holder != nil {
		b.holder.close()
	}
}

// reader returns a reader of the chunks.
func (b *requestBody) reader() io.Reader {
	readers := make([]io.Reader, len(b.chunks))
	for i, c := range b.chunks {
		readers[i] = bytes.NewReader(c)
	}
	return io.MultiReader(readers...)
}

// attempt returns the body for one attempt.
func (b *requestBody) attempt() io.Reader {
	if b.stream != nil {
		return b.stream.reader()
	}
	return b.reader()
}

// rewind reports whether the body can be sent once more, after an attempt that
// has ended.
func (b *requestBody) rewind() bool { return b.stream == nil || b.stream.rewind() }

// received returns how many bytes of the body have come from the caller.
func (b *requestBody) received() azurestair.Bytes {
	if b.stream != nil {
		return azurestair.Bytes(b.stream.received.Load())
	}
	return azurestair.Bytes(b.length)
}

// errBodyMemory reports that the bodies of other requests use all memory.
var errBodyMemory = errors.New("no memory for the request body")

// readAll reads a body of up to limit bytes.
func (b *requestBody) readAll(r io.Reader, limit int64) error {
	ended, err := b.readUpTo(r, limit+1)
	switch {
	case err != nil:
		return err
	case !ended || b.length > limit:
		return azurestair.ErrTooLarge
	}
	return nil
}

// readUpTo reads up to limit bytes and reports whether the body ended.
func (b *requestBody) readUpTo(r io.Reader, limit int64) (bool, error) {
	for size := int64(minBodyChunk); b.length < limit; size = min(2*size, maxBodyChunk) {
		chunk, err := b.readChunk(r, min(size, limit-b.length))
		b.chunks, b.length = append(b.chunks, chunk), b.length+int64(len(chunk))
		switch {
		case err == nil:
		case err == io.EOF: //nolint:errorlint // a truncated body ends with io.ErrUnexpectedEOF
			return true, nil
		case b.holder.isEvicted():
			return false, errBodyMemory
		default:
			return false, err
		}
	}
	return false, nil
}

// readChunk reads up to size bytes. It reserves them before it reads.
func (b *requestBody) readChunk(r io.Reader, size int64) ([]byte, error) {
	if !b.holder.reserve(azurestair.Bytes(size)) {
		return nil, errBodyMemory
	}
	chunk := make([]byte, size)
	n := 0
	for n < len(chunk) {
		m, err := r.Read(chunk[n:])
		n += m
		if err != nil {
			return chunk[:n], err
		}
	}
	return chunk, nil
}

// startStream makes the body be forwarded while it is received. If there is
// memory, its beginning is kept for a further attempt.
func (b *requestBody) startStream(r io.Reader, length int64) {
	b.stream = &replayableStream{source: io.LimitReader(r, length), limit: int(min(length, replayLimit)), holder: b.holder}
	b.length = length
}

// startUnknownStream forwards a body of unknown length, of which the chunks have
// been read, while the rest of up to limit bytes in total is received.
func (b *requestBody) startUnknownStream(r io.Reader, limit int64) {
	rest := &limitedBody{source: r, left: limit - b.length}
	b.stream = &replayableStream{source: io.MultiReader(b.reader(), rest), rest: rest, holder: b.holder}
	b.length = -1
}

// isTooLarge reports whether a streamed body exceeded its limit.
func (b *requestBody) isTooLarge() bool {
	return b.stream != nil && b.stream.rest != nil && b.stream.rest.exceeded.Load()
}

// limitedBody fails once more than left bytes have been read.
type limitedBody struct {
	source   io.Reader
	left     int64
	exceeded atomic.Bool
}

// Read implements io.Reader.
func (l *limitedBody) Read(p []byte) (int, error) {
	n, err := l.source.Read(p)
	if l.left -= int64(n); l.left < 0 {
		l.exceeded.Store(true)
		return 0, azurestair.ErrTooLarge
	}
	return n, err
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
	// limit is how many bytes are kept at most.
	limit int
	kept  []byte
	// holder holds the memory of kept.
	holder *memoryHolder
	// rest is the part of a body of unknown length that is not in memory; nil
	// for other bodies.
	rest *limitedBody
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
	s.keep(p[:n])
	r.read += n
	return n, err
}

// keep keeps what has been read, or drops all that is kept if it exceeds the
// limit or the memory for it is not available.
func (s *replayableStream) keep(p []byte) {
	if s.incomplete || len(p) == 0 {
		return
	}
	size := len(s.kept) + len(p)
	if size > s.limit || !s.growKept(size) {
		if s.holder != nil {
			s.holder.release(azurestair.Bytes(cap(s.kept)))
		}
		s.kept, s.incomplete = nil, true
		return
	}
	s.kept = append(s.kept, p...)
}

// growKept makes room for size bytes. While they are copied, both the old and
// the new copy are held.
func (s *replayableStream) growKept(size int) bool {
	if size <= cap(s.kept) {
		return true
	}
	grown := min(max(size, 2*cap(s.kept)), s.limit)
	if s.holder != nil {
		if !s.holder.reserve(azurestair.Bytes(grown)) {
			return false
		}
		s.holder.release(azurestair.Bytes(cap(s.kept)))
	}
	s.kept = append(make([]byte, 0, grown), s.kept...)
	return true
}

// readBody prepares the body of the request, up to the limit of the operation.
func (c *call) readBody(ctx context.Context) azurestair.Reason {
	limit := int64(c.op.BodyLimit())
	c.body = requestBody{holder: c.entry.clientMemory.holderFor(ctx)}
	isRepeatable := c.op.Idempotent || c.isUnkeyed()
	switch {
	case c.req.BodyLen > limit:
		return azurestair.ReasonBodyTooLarge
	case c.req.Body == nil || c.req.BodyLen == 0:
		return azurestair.ReasonNone
	case c.req.BodyLen > streamBodyAbove && isRepeatable:
		c.body.startStream(c.req.Body, c.req.BodyLen)
		return azurestair.ReasonNone
	}
	// The request has not run until its body is complete.
	c.body.holder.setEvict(abortBody(ctx))
	defer c.body.holder.setEvict(nil)
	if c.req.BodyLen < 0 && limit > wholeBodyLimit && isRepeatable {
		ended, err := c.body.readUpTo(c.req.Body, wholeBodyLimit)
		if err == nil && !ended {
			c.body.startUnknownStream(c.req.Body, limit)
		}
		return bodyReason(err)
	}
	return bodyReason(c.body.readAll(c.req.Body, limit))
}

// bodyReason returns the reason for which a request is rejected whose body could
// not be read.
func bodyReason(err error) azurestair.Reason {
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
