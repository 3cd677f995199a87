package operator

import (
	"crypto/sha256"
	"crypto/subtle"
	"os"
	"strings"

	"github.com/cockroachdb/errors"
)

const minTokenLength = 16 // characters

// token checks the operators' bearer token. The file is read for each request, so that a replaced token is valid at
// once.
type token struct {
	file string
}

func (t *token) check() error {
	if t.file == "" {
		return nil
	}
	_, err := t.read()
	return err
}

func (t *token) read() (string, error) {
	data, err := os.ReadFile(t.file)
	if err != nil {
		return "", errors.Wrap(err, "token file")
	}
	text := strings.TrimSpace(string(data))
	if len(text) < minTokenLength {
		return "", errors.Newf("token file: expected at least %d characters", minTokenLength)
	}
	return text, nil
}

func (t *token) accepts(authorization string) bool {
	if t.file == "" {
		return true
	}
	want, err := t.read()
	got, bearer := strings.CutPrefix(authorization, "Bearer ")
	if err != nil || !bearer {
		return false
	}
	// Hashing makes the lengths equal, so that the comparison takes the same time for every guess.
	wantSum, gotSum := sha256.Sum256([]byte(want)), sha256.Sum256([]byte(got))
	return subtle.ConstantTimeCompare(wantSum[:], gotSum[:]) == 1
}
