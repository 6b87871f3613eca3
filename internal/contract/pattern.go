package contract

import "strings"

// Pattern matches requests by method and path. A path that ends in * matches
// every path with that prefix.
type Pattern struct {
	Method string
	Path   string
}

// ParsePattern reads "METHOD /path" or "METHOD /prefix*".
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

// Matches reports whether the pattern covers the request.
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
