package azurestair

import "strings"

// BearerToken returns the token in the value of an Authorization header, empty
// if the value holds none.
func BearerToken(authorization string) string {
	token, ok := strings.CutPrefix(authorization, "Bearer ")
	if !ok {
		return ""
	}
	return token
}
