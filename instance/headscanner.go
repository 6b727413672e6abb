package instance

import "bytes"

// headScanner finds the end of a request head in the bytes that arrive on a
// connection, so that the body is not counted as part of the head. It accepts
// the line ends that net/http accepts. The zero value is at the start of a head.
type headScanner struct {
	// started is true once a line with content has ended. Empty lines before the
	// request line do not end the head.
	started bool
	// ended is true once the empty line at the end of the head has been found.
	ended bool
	line  lineContent
}

// lineContent is what a line that has not ended yet contains.
type lineContent uint8

const (
	lineEmpty lineContent = iota
	lineCarriageReturn
	lineText
)

// scan reads the next bytes of the connection. It returns how many of them
// belong to the head, and the number of lines that end in these.
func (s *headScanner) scan(p []byte) (n, lines int) {
	for n < len(p) && !s.ended {
		end := bytes.IndexByte(p[n:], '\n')
		if end < 0 {
			s.extendLine(p[n:])
			return len(p), lines
		}
		s.extendLine(p[n : n+end])
		n += end + 1
		lines++
		s.endLine()
	}
	return n, lines
}

func (s *headScanner) extendLine(p []byte) {
	switch {
	case len(p) == 0:
	case s.line == lineEmpty && len(p) == 1 && p[0] == '\r':
		s.line = lineCarriageReturn
	default:
		s.line = lineText
	}
}

func (s *headScanner) endLine() {
	if s.line == lineText {
		s.started = true
	} else {
		s.ended = s.started
	}
	s.line = lineEmpty
}
