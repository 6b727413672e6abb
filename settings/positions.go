package settings

import (
	"strconv"
	"strings"
)

// positions maps the path of each key of a file to its line. The TOML library
// reports line numbers for syntax errors only, not for decoded keys.
type positions map[string]int

// line returns the line of path or of its nearest ancestor in the file, or 1 if
// there is none.
func (p positions) line(path string) int {
	for path != "" {
		if n, ok := p[path]; ok {
			return n
		}
		path = path[:max(strings.LastIndexAny(path, ".["), 0)]
	}
	return 1
}

// maxDepth limits the number of parts of a dotted key and the nesting of arrays
// and inline tables in a value. The time and memory that the TOML library needs
// grow quadratically with the depth.
const maxDepth = 16

// scanner finds the keys of a valid TOML file. In an invalid file it sees the
// same structure as the TOML library up to the first syntax error.
type scanner struct {
	src      string
	pos      int
	line     int
	keyLines positions
	// tableCounts holds the number of tables seen in each array of tables.
	tableCounts map[string]int
	// depth is the number of open arrays and inline tables.
	depth int
	// tooDeepLine is the line that exceeds maxDepth; zero if none does.
	tooDeepLine int
}

// scanPositions returns the lines of all keys, and the first line that exceeds
// maxDepth or zero if there is none.
func scanPositions(src string) (found positions, tooDeep int) {
	s := &scanner{src: src, line: 1, keyLines: positions{}, tableCounts: map[string]int{}}
	prefix := ""
	for s.skipBlank(); !s.atEOF(); s.skipBlank() {
		start := s.pos
		if s.peek() == '[' {
			prefix = s.scanHeader()
		} else {
			s.scanKeyValue(prefix)
		}
		s.ensureProgress(start)
	}
	return s.keyLines, s.tooDeepLine
}

// checkDepth stops the scan of a file that exceeds maxDepth.
func (s *scanner) checkDepth(depth int) {
	if depth > maxDepth {
		s.tooDeepLine = s.line
		s.pos = len(s.src)
	}
}

func (s *scanner) atEOF() bool { return s.pos >= len(s.src) }

func (s *scanner) peek() byte {
	if s.atEOF() {
		return 0
	}
	return s.src[s.pos]
}

// advance consumes one byte and counts lines.
func (s *scanner) advance() {
	if s.peek() == '\n' {
		s.line++
	}
	s.pos++
}

func (s *scanner) skip(n int) {
	for ; n > 0 && !s.atEOF(); n-- {
		s.advance()
	}
}

func (s *scanner) skipWhile(set string) {
	for !s.atEOF() && strings.IndexByte(set, s.peek()) >= 0 {
		s.advance()
	}
}

func (s *scanner) skipUntil(set string) {
	for !s.atEOF() && strings.IndexByte(set, s.peek()) < 0 {
		s.advance()
	}
}

// skipBlank skips white space, newlines and comments.
func (s *scanner) skipBlank() {
	s.skipWhile(" \t\r\n")
	for s.peek() == '#' {
		s.skipUntil("\n")
		s.skipWhile(" \t\r\n")
	}
}

// ensureProgress consumes a byte if nothing was consumed since start, so that
// malformed input cannot cause an infinite loop.
func (s *scanner) ensureProgress(start int) {
	if s.pos == start {
		s.advance()
	}
}

func (s *scanner) recordLine(path string) {
	if _, ok := s.keyLines[path]; !ok {
		s.keyLines[path] = s.line
	}
}

// scanHeader scans a table header and returns the path of the table.
func (s *scanner) scanHeader() string {
	array := strings.HasPrefix(s.src[s.pos:], "[[")
	s.skipWhile("[")
	path := ""
	names := s.scanKey()
	for i, name := range names {
		path = joinPath(path, name)
		s.recordLine(path)
		if array && i == len(names)-1 {
			s.tableCounts[path]++
		}
		if n := s.tableCounts[path]; n > 0 {
			path = indexPath(path, n-1)
			s.recordLine(path)
		}
	}
	s.skipWhile(" \t]")
	return path
}

// scanKeyValue scans a key and its value.
func (s *scanner) scanKeyValue(prefix string) {
	path := prefix
	for _, name := range s.scanKey() {
		path = joinPath(path, name)
		s.recordLine(path)
	}
	s.skipWhile(" \t=")
	s.scanValue(path)
}

// scanKey scans a bare, quoted or dotted key and returns its parts.
func (s *scanner) scanKey() []string {
	var names []string
	for {
		s.skipWhile(" \t")
		names = append(names, s.scanSimpleKey())
		s.checkDepth(len(names))
		s.skipWhile(" \t")
		if s.peek() != '.' {
			return names
		}
		s.advance()
	}
}

func (s *scanner) scanSimpleKey() string {
	start := s.pos
	switch s.peek() {
	case '"':
		s.scanString()
		name, _ := strconv.Unquote(s.src[start:s.pos])
		return name
	case '\'':
		s.scanString()
		return strings.Trim(s.src[start:s.pos], "'")
	}
	s.skipUntil(" \t\r\n.=]#,}")
	return s.src[start:s.pos]
}

func (s *scanner) scanValue(path string) {
	s.depth++
	defer func() { s.depth-- }()
	s.checkDepth(s.depth)
	switch s.peek() {
	case '"', '\'':
		s.scanString()
	case '[':
		s.scanArray(path)
	case '{':
		s.scanInlineTable(path)
	default:
		s.skipUntil(",]}#\n")
	}
}

// scanString skips a basic or literal string, single-line or multi-line.
func (s *scanner) scanString() {
	quote := s.src[s.pos : s.pos+1]
	if triple := strings.Repeat(quote, 3); strings.HasPrefix(s.src[s.pos:], triple) {
		quote = triple
	}
	s.skip(len(quote))
	for !s.atEOF() && !strings.HasPrefix(s.src[s.pos:], quote) {
		if s.peek() == '\\' && quote[0] == '"' {
			s.advance()
		}
		s.skip(1)
	}
	s.skip(len(quote))
	// The content of a multi-line string may end with up to two quotes.
	if len(quote) == 3 {
		s.skipWhile(quote[:1])
	}
}

func (s *scanner) scanArray(path string) {
	s.advance()
	for i := 0; ; i++ {
		s.skipBlank()
		if s.atEOF() || s.peek() == ']' {
			s.skip(1)
			return
		}
		start := s.pos
		s.recordLine(indexPath(path, i))
		s.scanValue(indexPath(path, i))
		s.skipBlank()
		s.skipWhile(",")
		s.ensureProgress(start)
	}
}

func (s *scanner) scanInlineTable(path string) {
	s.advance()
	for {
		s.skipBlank()
		if s.atEOF() || s.peek() == '}' {
			s.skip(1)
			return
		}
		start := s.pos
		s.scanKeyValue(path)
		s.skipBlank()
		s.skipWhile(",")
		s.ensureProgress(start)
	}
}

// joinPath appends a key to a path, quoting it if it is not a bare key.
func joinPath(path, name string) string {
	if !isBare(name) {
		name = strconv.Quote(name)
	}
	if path == "" {
		return name
	}
	return path + "." + name
}

func isBare(name string) bool {
	for _, c := range []byte(name) {
		letter := c|0x20 >= 'a' && c|0x20 <= 'z'
		if !letter && (c < '0' || c > '9') && c != '_' && c != '-' {
			return false
		}
	}
	return name != ""
}

// indexPath returns the path of the i-th element of a list.
func indexPath(path string, i int) string {
	return path + "[" + strconv.Itoa(i) + "]"
}
