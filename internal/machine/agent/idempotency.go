package agent

import (
	"net/http"
	"strings"
	"time"

	"sassafrasturn.example/internal/once"
	"sassafrasturn.example/internal/token"
)

// keyHeader carries an idempotency key as a quoted string, as in the IETF draft
// "The Idempotency-Key HTTP Header Field". In a refusal it carries a fresh key.
const keyHeader = "Idempotency-Key"

// keyIssuer issues the idempotency keys of one agent and owns their ledger.
type keyIssuer struct {
	codec  *token.KeyCodec
	owner  token.KeyOwner
	ledger *once.Ledger
	// start is when the ledger was created. Its monotonic reading is not
	// affected by changes of the wall clock.
	start time.Time
}

func newKeyIssuer(s *serving) (*keyIssuer, error) {
	instance := s.agent.instance
	codec, err := token.NewKeyCodec(instance.Keys)
	if err != nil {
		return nil, err
	}
	owner := token.KeyOwner{
		Service:     s.number,
		Instance:    instance.Settings.Instance,
		Link:        instance.Settings.Link.Address().String(),
		Incarnation: instance.Incarnation,
		Ledger:      token.NewLedgerNumber(),
	}
	return &keyIssuer{codec: codec, owner: owner, ledger: once.NewLedger(once.DefaultLimits), start: time.Now()}, nil
}

func (k *keyIssuer) now() time.Duration {
	return time.Since(k.start)
}

// addKey sets a fresh key in the header of a refusal.
func (k *keyIssuer) addKey(header http.Header) error {
	text, err := k.codec.Issue(k.owner, k.now()+k.ledger.Limits().KeyLifetime)
	if err != nil {
		return err
	}
	header.Set(keyHeader, `"`+text+`"`)
	return nil
}

// owns reports whether the key was issued for this ledger.
func (k *keyIssuer) owns(key token.Key) bool {
	return key.Owner == k.owner
}

// isFromEarlierProcess reports whether an earlier process of this instance issued the key.
func (k *keyIssuer) isFromEarlierProcess(key token.Key) bool {
	return key.Owner.Instance == k.owner.Instance && !k.owns(key)
}

// resolve returns the state of a key of this ledger. A key that is still unused
// becomes void.
func (k *keyIssuer) resolve(key token.Key, content once.ContentDigest) once.Result {
	return k.ledger.Resolve(k.now(), once.ID(key.ID), key.Expires, content)
}

// keyText returns the key of a request without its quotes.
func keyText(header http.Header) string {
	return strings.Trim(strings.TrimSpace(header.Get(keyHeader)), `"`)
}

// hasAgentKey reports whether a request carries a key issued by an agent, or
// requests one by an empty key. Other keys are passed to the endpoint.
func hasAgentKey(header http.Header) bool {
	if len(header.Values(keyHeader)) == 0 {
		return false
	}
	text := keyText(header)
	return text == "" || token.IsAgentKey(text)
}
