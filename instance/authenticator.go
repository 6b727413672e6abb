package instance

import (
	"crypto/sha256"
	"crypto/subtle"
	"sync/atomic"

	"azurestair.example/azurestair"
	"azurestair.example/azurestair/settings"
)

// findToken returns the name of the token. It compares against every stored
// hash in constant time, so that the response time reveals nothing about the
// stored hashes.
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

// authenticator checks operator and upstream tokens. The token set can be
// replaced at any time.
type authenticator struct {
	tokens atomic.Pointer[settings.Tokens]
}

func (a *authenticator) set(t settings.Tokens) { a.tokens.Store(&t) }

// operator returns the name of the operator that owns the token.
func (a *authenticator) operator(token string) (azurestair.OperatorName, error) {
	return findToken(a.tokens.Load().Operators, token)
}

// upstream returns the name under which the upstream token is configured.
func (a *authenticator) upstream(token string) (string, error) {
	name, err := findToken(a.tokens.Load().Upstreams, token)
	return string(name), err
}
