package registry

import (
	"errors"
	"fmt"
	"strings"
	"unicode"
	"unicode/utf8"
)

// ErrInvalidText reports that a text of a report holds bytes that processes and servers do not
// read alike.
var ErrInvalidText = errors.New("registry: invalid text")

// CheckText returns an error if a text from outside the fleet can't be a name: if it is not UTF-8,
// or holds a control character, which would end a field of a request's head, or the replacement
// character, which stands for any bytes that could not be decoded, so that different names would
// become one.
func CheckText(text string) error {
	if !utf8.ValidString(text) {
		return fmt.Errorf("%w: %q is not UTF-8", ErrInvalidText, text)
	}
	if i := strings.IndexFunc(text, func(r rune) bool { return unicode.IsControl(r) || r == utf8.RuneError }); i >= 0 {
		r, _ := utf8.DecodeRuneInString(text[i:])
		return fmt.Errorf("%w: %q holds the character %U", ErrInvalidText, text, r)
	}
	return nil
}

// CheckTexts checks all texts of a report. A peer of an older build forwards reports without
// having checked them.
func (s *Server) CheckTexts() error {
	for _, text := range [...]string{s.ID, s.Name, s.Service, s.Address, s.Zone, string(s.State), s.Role, s.Version} {
		if err := CheckText(text); err != nil {
			return err
		}
	}
	return nil
}
