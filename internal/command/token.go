package command

import (
	"crypto/subtle"
	"net/http"
	"os"
	"strings"

	"github.com/rotisserie/eris"

	"github.com/loomkeel/loomkeel/internal/process"
)

// Token is the operators' bearer token. An empty Token disables authentication.
type Token string

// minTokenLength is the smallest length of a token in bytes.
const minTokenLength = 16

// LoadToken reads a token from a file and trims white space around it. If the file
// name is empty it returns the empty Token.
func LoadToken(file string) (Token, error) {
	if file == "" {
		return "", nil
	}
	b, err := os.ReadFile(file)
	if err != nil {
		return "", err
	}
	t := strings.TrimSpace(string(b))
	if len(t) < minTokenLength {
		return "", eris.Errorf("token in %s has %d bytes; allowed: at least %d", file, len(t), minTokenLength)
	}
	return Token(t), nil
}

// Require returns a handler that passes requests with the bearer token to next and
// answers all others with status 401. With an empty Token it returns next.
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
