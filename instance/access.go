package instance

import (
	"crypto/sha256"
	"crypto/subtle"
	"sync/atomic"

	"azurestair.example/azurestair"
	"azurestair.example/azurestair/settings"
)

// findToken returns the name of the token. It compares with every stored hash
// in constant time, so that the time tells nothing about the stored ones.
func findToken(tokens []settings.Token, token string) (azurestair.OperatorName, error) {
	sum := sha256.Sum256([]byte(token))
	var name azurestair.OperatorName
	found := 0
	for _, t := range tokens {
		if subtle.ConstantTimeCompare(sum[:], t.SHA256[:]) == 1 {
			name = t.Name
			found = 1
		}
	}
	if token == "" || found == 0 {
		return "", azurestair.ErrUnauthorized
	}
	return name, nil
}

// access checks tokens; the accepted ones may be replaced at any time.
type access struct {
	tokens atomic.Pointer[settings.Tokens]
}

func (a *access) set(t settings.Tokens) { a.tokens.Store(&t) }

// operator returns the operator that a token belongs to.
func (a *access) operator(token string) (azurestair.OperatorName, error) {
	return findToken(a.tokens.Load().Operators, token)
}

// upstream returns the name of the upstreams' token.
func (a *access) upstream(token string) (string, error) {
	name, err := findToken(a.tokens.Load().Upstreams, token)
	return string(name), err
}
