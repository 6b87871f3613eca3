package main

import (
	"context"
	"crypto/rand"
	"encoding/hex"
	"flag"
	"fmt"

	"github.com/google/subcommands"

	"sassafrasturn.example/internal/keyring"
)

// keysCommand prints a new key file.
type keysCommand struct {
	epoch uint
}

// Name returns the name of the command.
func (*keysCommand) Name() string { return "keys" }

// Synopsis describes the command in a line.
func (*keysCommand) Synopsis() string { return "print a new key file" }

// Usage describes the command.
func (*keysCommand) Usage() string {
	return `keys [-epoch N]
  Prints a key file with one new secret. To rotate keys, add its numbered line to
  the key file of every instance, then change current on all of them.
`
}

// SetFlags declares the flags.
func (c *keysCommand) SetFlags(flags *flag.FlagSet) {
	flags.UintVar(&c.epoch, "epoch", 1, "number of the key, 0 to 255")
}

const maxEpoch = 255

// Execute prints the key file.
func (c *keysCommand) Execute(context.Context, *flag.FlagSet, ...any) subcommands.ExitStatus {
	if c.epoch > maxEpoch {
		return usageError("-epoch is a number from 0 to 255")
	}
	var secret [keyring.SecretBytes]byte
	if _, err := rand.Read(secret[:]); err != nil {
		return fail(err)
	}
	fmt.Printf("[keys]\ncurrent = %d\n%d = %s\n", c.epoch, c.epoch, hex.EncodeToString(secret[:]))
	return subcommands.ExitSuccess
}
