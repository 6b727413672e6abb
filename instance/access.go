package instance

import (
	"crypto/sha256"
	"crypto/subtle"

	"azurestair.example/azurestair"
	"azurestair.example/azurestair/operator"
	"azurestair.example/azurestair/settings"
	"azurestair.example/azurestair/upstream"
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

func operatorAuth(tokens []settings.Token) operator.Authorizer {
	return func(token string) (azurestair.OperatorName, error) { return findToken(tokens, token) }
}

func upstreamAuth(tokens []settings.Token) upstream.Authorizer {
	return func(token string) (string, error) {
		name, err := findToken(tokens, token)
		return string(name), err
	}
}
