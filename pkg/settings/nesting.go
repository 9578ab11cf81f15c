package settings

// maxNesting is the maximum number of nested values, and of parts of a key, in the text of
// a document. No document has more than three. The TOML decoder took more than 40 s for a
// document of 64 KiB with 20,000 nested tables.
const maxNesting = 32

// nestedTooDeeply reports whether values or keys in a TOML text are nested more deeply
// than maxNesting. It takes time in proportion to the length of the text, and does not
// check its syntax.
func nestedTooDeeply(text string) bool {
	depth, parts := 0, 0
	for i := 0; i < len(text); i++ {
		switch text[i] {
		case '#':
			for i+1 < len(text) && text[i+1] != '\n' {
				i++
			}
		case '"', '\'':
			i = endOfString(text, i)
		case '[', '{':
			depth, parts = depth+1, 0
		case ']', '}':
			depth, parts = max(depth-1, 0), 0
		case '=', ',', '\n':
			parts = 0
		case '.':
			parts++
		}
		if depth > maxNesting || parts > maxNesting {
			return true
		}
	}
	return false
}

// endOfString returns the index of the last byte of the string that begins at index i, or
// of the text if the string does not end.
func endOfString(text string, i int) int {
	quote, n := text[i], 1
	if i+2 < len(text) && text[i+1] == quote && text[i+2] == quote {
		n = 3
	}
	for j := i + n; j < len(text); j++ {
		switch {
		case text[j] == '\\' && quote == '"':
			j++
		case text[j] == '\n' && n == 1:
			return j - 1 // an error that the decoder reports
		case text[j] == quote && (n == 1 || j+2 < len(text) && text[j+1] == quote && text[j+2] == quote):
			return j + n - 1
		}
	}
	return len(text) - 1
}
