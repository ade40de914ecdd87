package command

import (
	"crypto/subtle"
	"net/http"
	"os"
	"strings"

	"github.com/rotisserie/eris"

	"github.com/loomkeel/loomkeel/internal/process"
)

// Token is the operators' secret; empty means that none is asked for.
type Token string

// minToken is the fewest characters of a token.
const minToken = 16

// LoadToken reads a token from a file; no file gives no token.
func LoadToken(file string) (Token, error) {
	if file == "" {
		return "", nil
	}
	b, err := os.ReadFile(file)
	if err != nil {
		return "", err
	}
	t := strings.TrimSpace(string(b))
	if len(t) < minToken {
		return "", eris.Errorf("%s: token of %d characters, at least %d are needed", file, len(t), minToken)
	}
	return Token(t), nil
}

// Require refuses requests that do not carry the token as a bearer token.
func (t Token) Require(next http.Handler) http.Handler {
	if t == "" {
		return next
	}
	want := []byte("Bearer " + string(t))
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if subtle.ConstantTimeCompare([]byte(r.Header.Get("Authorization")), want) != 1 {
			w.Header().Set("WWW-Authenticate", "Bearer")
			process.WriteJSON(w, http.StatusUnauthorized, map[string]string{"error": "the operators' token is missing or wrong"})
			return
		}
		next.ServeHTTP(w, r)
	})
}
