package requestpath

import "strings"

const (
	unreservedMarks = "-._~"
	allowedMarks    = unreservedMarks + "!$&'()*+,;=:@/"
	toleratedMarks  = "[]" // not allowed by RFC 3986, but sent on by net/url as they are
	upperHex        = "0123456789ABCDEF"
)

// Normalise returns the form of an escaped path by which equivalent paths are equal (RFC 3986, section 6.2.2): escapes of
// unreserved characters are decoded, all others are kept, in upper case. So `%74` is `t`, but `%2F` is no slash. Characters that may not
// stand in a path are escaped.
func Normalise(path string) string {
	if isNormal(path) {
		return path
	}
	var normal strings.Builder
	for i := 0; i < len(path); i++ {
		b := path[i]
		decoded, escaped := decode(path[i:])
		switch {
		case escaped && isUnreserved(decoded):
			normal.WriteByte(decoded)
			i += 2
		case escaped:
			writeEscape(&normal, decoded)
			i += 2
		case isAllowed(b):
			normal.WriteByte(b)
		default:
			writeEscape(&normal, b)
		}
	}
	return normal.String()
}

// Escape escapes the characters that may not stand in a path, and keeps all else as it is, so that the escapes of the sender
// reach the target unchanged.
func Escape(path string) string {
	if isNormal(path) {
		return path
	}
	var escaped strings.Builder
	for i := range len(path) {
		_, isEscape := decode(path[i:])
		if isEscape || isAllowed(path[i]) || strings.IndexByte(toleratedMarks, path[i]) >= 0 {
			escaped.WriteByte(path[i])
			continue
		}
		writeEscape(&escaped, path[i])
	}
	return escaped.String()
}

// HasDotSegment reports whether a segment of a normalised path is `.` or `..`, which a target may resolve to another path
// than the one by which the rule was chosen.
func HasDotSegment(normal string) bool {
	if !strings.Contains(normal, "/.") {
		return false
	}
	for segment := range strings.SplitSeq(normal, "/") {
		if segment == "." || segment == ".." {
			return true
		}
	}
	return false
}

func isNormal(path string) bool {
	for i := range len(path) {
		if !isAllowed(path[i]) {
			return false
		}
	}
	return true
}

// decode returns the octet that the text begins with as an escape, if it does.
func decode(text string) (byte, bool) {
	if len(text) < 3 || text[0] != '%' {
		return 0, false
	}
	high, low := hexValue(text[1]), hexValue(text[2])
	if high < 0 || low < 0 {
		return 0, false
	}
	return byte(high<<4 | low), true
}

func hexValue(b byte) int {
	switch {
	case b >= '0' && b <= '9':
		return int(b - '0')
	case b >= 'a' && b <= 'f':
		return int(b-'a') + 10
	case b >= 'A' && b <= 'F':
		return int(b-'A') + 10
	default:
		return -1
	}
}

func writeEscape(to *strings.Builder, b byte) {
	to.WriteByte('%')
	to.WriteByte(upperHex[b>>4])
	to.WriteByte(upperHex[b&15])
}

func isLetterOrDigit(b byte) bool {
	return b >= 'a' && b <= 'z' || b >= 'A' && b <= 'Z' || b >= '0' && b <= '9'
}

func isUnreserved(b byte) bool {
	return isLetterOrDigit(b) || strings.IndexByte(unreservedMarks, b) >= 0
}

func isAllowed(b byte) bool {
	return isLetterOrDigit(b) || strings.IndexByte(allowedMarks, b) >= 0
}
