package flow

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"
)

func TestSaturationIsSustainedAfterACallersAttempt(t *testing.T) {
	const slots = 2
	cases := []struct {
		name string
		// inFlight are the requests in flight, observed every 200 ms.
		inFlight []int
		want     bool
	}{
		{"idle since the start", nil, false},
		{"a rush", []int{0, 9, 9, 9, 9}, false},
		{"a rush from the start", []int{9, 9, 9, 9, 9, 9}, false},
		{"an overload", []int{0, 9, 9, 9, 9, 9, 9, 9, 9}, true},
		{"an overload with all slots taken and no queue", []int{0, 2, 2, 2, 2, 2, 2, 2, 2}, true},
		{"a free slot in between", []int{0, 9, 9, 9, 9, 1, 9, 9, 9}, false},
		{"after the overload", []int{0, 9, 9, 9, 9, 9, 9, 9, 9, 1}, false},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			var saturation Saturation
			now := time.Duration(0)
			for _, inFlight := range c.inFlight {
				saturation.Observe(now, inFlight, slots)
				now += 200 * time.Millisecond
			}
			NewWithT(t).Expect(saturation.IsSustained(now)).To(Equal(c.want))
		})
	}
}
