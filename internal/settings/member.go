package settings

import (
	"net/netip"
	"strconv"
	"strings"
)

func parseMember(text string) (Member, bool) {
	id, address, ok := strings.Cut(text, "@")
	if !ok {
		return Member{}, false
	}
	number, err := strconv.ParseUint(id, 10, 32)
	if err != nil || number == 0 {
		return Member{}, false
	}
	parsed, err := netip.ParseAddrPort(address)
	if err != nil {
		return Member{}, false
	}
	return Member{ID: number, Link: parsed}, true
}
