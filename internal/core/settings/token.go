package settings

import (
	"errors"
	"strings"
)

// ErrToken is the error of a file that holds no token.
var ErrToken = errors.New("holds no token; accepted: one word of printable ASCII")

// ParseToken returns the operators' token that a file holds.
func ParseToken(b []byte) (string, error) {
	token := strings.TrimSpace(string(b))
	if token == "" || strings.ContainsFunc(token, func(r rune) bool { return r <= ' ' || r > '~' }) {
		return "", ErrToken
	}
	return token, nil
}
