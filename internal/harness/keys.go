package harness

import (
	"crypto/rand"
	"encoding/hex"
	"fmt"
	"os"
	"path/filepath"
	"strings"
)

// AddKey adds a random key with the given number to the cluster's key file.
func (c *Cluster) AddKey(number int) error {
	var secret [32]byte
	if _, err := rand.Read(secret[:]); err != nil {
		return Error.Wrap(err)
	}
	return c.editKeys(func(text string) string {
		return text + fmt.Sprintf("%d = %s\n", number, hex.EncodeToString(secret[:]))
	})
}

// SetCurrentKey changes the current key of the key file from one number to another.
func (c *Cluster) SetCurrentKey(from, to int) error {
	return c.editKeys(func(text string) string {
		return strings.Replace(text, fmt.Sprintf("current = %d\n", from), fmt.Sprintf("current = %d\n", to), 1)
	})
}

// editKeys replaces the key file atomically, so that no instance reads a partial file.
func (c *Cluster) editKeys(edit func(text string) string) error {
	path := filepath.Join(c.folder, "cluster.keys")
	text, err := os.ReadFile(path)
	if err != nil {
		return Error.Wrap(err)
	}
	next := path + ".next"
	if err := os.WriteFile(next, []byte(edit(string(text))), 0o600); err != nil {
		return Error.Wrap(err)
	}
	return Error.Wrap(os.Rename(next, path))
}
