package settings

import (
	"errors"
	"strings"
)

// ErrToken is returned for a file without a valid token.
var ErrToken = errors.New("holds no token; accepted: one word of printable ASCII")

// ParseToken returns the operators' token from the contents of a file. It returns
// ErrToken if the contents are not one word of printable ASCII.
func ParseToken(b []byte) (string, error) {
	token := strings.TrimSpace(string(b))
	if token == "" || strings.ContainsFunc(token, func(r rune) bool { return r <= ' ' || r > '~' }) {
		return "", ErrToken
	}
	return token, nil
}
