package azurestair

import "strings"

// BearerToken returns the bearer token in the value of an Authorization header,
// or the empty string if there is none.
func BearerToken(authorization string) string {
	token, ok := strings.CutPrefix(authorization, "Bearer ")
	if !ok {
		return ""
	}
	return token
}
