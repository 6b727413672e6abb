package settings

import (
	"strconv"
	"strings"
)

// positions maps the path of each key of a file to its line. The TOML library
// gives no lines for keys that it has accepted.
type positions map[string]int

// line returns the line of path or of its nearest ancestor that the file holds.
func (p positions) line(path string) int {
	for path != "" {
		if n, ok := p[path]; ok {
			return n
		}
		path = path[:max(strings.LastIndexAny(path, ".["), 0)]
	}
	return 1
}

// maxDepth bounds the names in one key and the lists and tables in one value.
// The time and memory of the TOML library grow with the square of the depth.
const maxDepth = 16

// scanner finds keys in a valid TOML file. Up to the first fault of another
// file it sees the same structure as the TOML library.
type scanner struct {
	src   string
	pos   int
	line  int
	found positions
	// tables counts the tables of each array of tables.
	tables map[string]int
	// depth counts the open lists and inline tables.
	depth int
	// tooDeep is the line that exceeds maxDepth; zero if none does.
	tooDeep int
}

// scanPositions returns the lines of all keys, and the line at which the file
// exceeds maxDepth or zero.
func scanPositions(src string) (found positions, tooDeep int) {
	s := &scanner{src: src, line: 1, found: positions{}, tables: map[string]int{}}
	prefix := ""
	for s.skipBlank(); !s.end(); s.skipBlank() {
		start := s.pos
		if s.peek() == '[' {
			prefix = s.header()
		} else {
			s.pair(prefix)
		}
		s.ensureProgress(start)
	}
	return s.found, s.tooDeep
}

// checkDepth ends the scan of a file that exceeds maxDepth.
func (s *scanner) checkDepth(depth int) {
	if depth > maxDepth {
		s.tooDeep = s.line
		s.pos = len(s.src)
	}
}

func (s *scanner) end() bool { return s.pos >= len(s.src) }

func (s *scanner) peek() byte {
	if s.end() {
		return 0
	}
	return s.src[s.pos]
}

// next moves past one byte and counts lines.
func (s *scanner) next() {
	if s.peek() == '\n' {
		s.line++
	}
	s.pos++
}

func (s *scanner) skip(n int) {
	for ; n > 0 && !s.end(); n-- {
		s.next()
	}
}

func (s *scanner) skipWhile(set string) {
	for !s.end() && strings.IndexByte(set, s.peek()) >= 0 {
		s.next()
	}
}

func (s *scanner) skipUntil(set string) {
	for !s.end() && strings.IndexByte(set, s.peek()) < 0 {
		s.next()
	}
}

// skipBlank moves past white space, line ends and comments.
func (s *scanner) skipBlank() {
	s.skipWhile(" \t\r\n")
	for s.peek() == '#' {
		s.skipUntil("\n")
		s.skipWhile(" \t\r\n")
	}
}

// ensureProgress keeps malformed input from causing an endless loop.
func (s *scanner) ensureProgress(start int) {
	if s.pos == start {
		s.next()
	}
}

func (s *scanner) mark(path string) {
	if _, ok := s.found[path]; !ok {
		s.found[path] = s.line
	}
}

// header reads a table header and returns the path of the table.
func (s *scanner) header() string {
	array := strings.HasPrefix(s.src[s.pos:], "[[")
	s.skipWhile("[")
	path := ""
	names := s.key()
	for i, name := range names {
		path = join(path, name)
		s.mark(path)
		if array && i == len(names)-1 {
			s.tables[path]++
		}
		if n := s.tables[path]; n > 0 {
			path = item(path, n-1)
			s.mark(path)
		}
	}
	s.skipWhile(" \t]")
	return path
}

// pair reads a key with its value.
func (s *scanner) pair(prefix string) {
	path := prefix
	for _, name := range s.key() {
		path = join(path, name)
		s.mark(path)
	}
	s.skipWhile(" \t=")
	s.value(path)
}

// key reads a bare, quoted or dotted key.
func (s *scanner) key() []string {
	var names []string
	for {
		s.skipWhile(" \t")
		names = append(names, s.simpleKey())
		s.checkDepth(len(names))
		s.skipWhile(" \t")
		if s.peek() != '.' {
			return names
		}
		s.next()
	}
}

func (s *scanner) simpleKey() string {
	start := s.pos
	switch s.peek() {
	case '"':
		s.text()
		name, _ := strconv.Unquote(s.src[start:s.pos])
		return name
	case '\'':
		s.text()
		return strings.Trim(s.src[start:s.pos], "'")
	}
	s.skipUntil(" \t\r\n.=]#,}")
	return s.src[start:s.pos]
}

func (s *scanner) value(path string) {
	s.depth++
	defer func() { s.depth-- }()
	s.checkDepth(s.depth)
	switch s.peek() {
	case '"', '\'':
		s.text()
	case '[':
		s.list(path)
	case '{':
		s.inlineTable(path)
	default:
		s.skipUntil(",]}#\n")
	}
}

// text moves past a string of any of the four kinds.
func (s *scanner) text() {
	quote := s.src[s.pos : s.pos+1]
	if triple := strings.Repeat(quote, 3); strings.HasPrefix(s.src[s.pos:], triple) {
		quote = triple
	}
	s.skip(len(quote))
	for !s.end() && !strings.HasPrefix(s.src[s.pos:], quote) {
		if s.peek() == '\\' && quote[0] == '"' {
			s.next()
		}
		s.skip(1)
	}
	s.skip(len(quote))
	// A multi-line string may end in up to two quotes of its own.
	if len(quote) == 3 {
		s.skipWhile(quote[:1])
	}
}

func (s *scanner) list(path string) {
	s.next()
	for i := 0; ; i++ {
		s.skipBlank()
		if s.end() || s.peek() == ']' {
			s.skip(1)
			return
		}
		start := s.pos
		s.mark(item(path, i))
		s.value(item(path, i))
		s.skipBlank()
		s.skipWhile(",")
		s.ensureProgress(start)
	}
}

func (s *scanner) inlineTable(path string) {
	s.next()
	for {
		s.skipBlank()
		if s.end() || s.peek() == '}' {
			s.skip(1)
			return
		}
		start := s.pos
		s.pair(path)
		s.skipBlank()
		s.skipWhile(",")
		s.ensureProgress(start)
	}
}

// join appends a key to a path; a key that is not bare is quoted.
func join(path, name string) string {
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

// item returns the path of an element of a list.
func item(path string, i int) string {
	return path + "[" + strconv.Itoa(i) + "]"
}
