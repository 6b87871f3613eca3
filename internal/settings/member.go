package settings

import (
	"net/netip"
	"strconv"
	"strings"
)

// parseMember parses a voter in the form id@ip:port. IDs start at 1.
func parseMember(text string) (Member, bool) {
	idText, addressText, ok := strings.Cut(text, "@")
	if !ok {
		return Member{}, false
	}
	id, err := strconv.ParseUint(idText, 10, 32)
	if err != nil || id == 0 {
		return Member{}, false
	}
	address, err := netip.ParseAddrPort(addressText)
	if err != nil {
		return Member{}, false
	}
	return Member{ID: id, Link: address}, true
}
