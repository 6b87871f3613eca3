package opaque

import (
	"testing"

	. "github.com/onsi/gomega"
)

// The number of trials shares flags with those of a SYN, and must not pass for them.
func TestOfferCountsTrials(t *testing.T) {
	g := NewWithT(t)
	for trials := range MaxTrials + 2 {
		offer := Offer{HasVisited: true, IsReturned: true, Trials: trials}
		var read Offer
		_, ok := parseOffer(offer.wrap(append(make([]byte, OfferHeadroom), "packet"...)), &read)
		g.Expect(ok).To(BeTrue())
		g.Expect(read.Trials).To(Equal(min(trials, MaxTrials)))
		g.Expect(read.IsReordered || read.IsLate).To(BeFalse())
		g.Expect(read.IsReturned && read.HasVisited).To(BeTrue())
	}
}
