package contract

import "strings"

// Pattern matches requests by method and path.
type Pattern struct {
	// Method is the HTTP method in upper case.
	Method string
	// Path is the path, or a prefix of paths if it ends in *.
	Path string
}

// ParsePattern parses "METHOD /path" or "METHOD /prefix*". It reports false for
// any other text.
func ParsePattern(text string) (Pattern, bool) {
	method, path, ok := strings.Cut(text, " ")
	path = strings.TrimSpace(path)
	if !ok || method == "" || method != strings.ToUpper(method) {
		return Pattern{}, false
	}
	if !strings.HasPrefix(path, "/") || strings.Contains(strings.TrimSuffix(path, "*"), "*") {
		return Pattern{}, false
	}
	return Pattern{Method: method, Path: path}, true
}

// Matches reports whether the pattern matches the request.
func (p Pattern) Matches(method, path string) bool {
	if p.Method != method {
		return false
	}
	prefix, isPrefix := strings.CutSuffix(p.Path, "*")
	if isPrefix {
		return strings.HasPrefix(path, prefix)
	}
	return path == p.Path
}

func matchAny(patterns []Pattern, method, path string) bool {
	for _, pattern := range patterns {
		if pattern.Matches(method, path) {
			return true
		}
	}
	return false
}
