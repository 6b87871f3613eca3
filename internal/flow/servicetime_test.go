package flow

import (
	"math"
	"math/rand/v2"
	"net/netip"
	"testing"
	"time"

	. "github.com/onsi/gomega"
)

// drawWork returns a work time around a median, of which 3% are seven times as long.
func drawWork(random *rand.Rand, median time.Duration) time.Duration {
	work := float64(median) * math.Exp(0.5*random.NormFloat64())
	if random.Float64() < 0.03 {
		work *= 7
	}
	return time.Duration(work)
}

func observe(s *ServiceTime, random *rand.Rand, count int, median time.Duration) {
	for range count {
		s.Observe(drawWork(random, median))
	}
}

// A value of few samples would call an endpoint slow by chance.
func TestServiceTimeIsUnknownWithFewSamples(t *testing.T) {
	g := NewWithT(t)
	var s ServiceTime
	random := rand.New(rand.NewPCG(1, 1))
	observe(&s, random, minServiceSamples-1, 40*time.Millisecond)
	g.Expect(s.Median()).To(BeZero())
	observe(&s, random, serviceSamples-minServiceSamples, 40*time.Millisecond)
	g.Expect(s.Median()).To(BeNumerically("~", 40*time.Millisecond, 12*time.Millisecond))
	g.Expect(s.Reported()).To(BeZero())
	observe(&s, random, 1, 40*time.Millisecond)
	g.Expect(s.Reported()).To(BeNumerically("~", 40, 12))
}

// Each change of the reported value costs every node a message. A naive value, rounded without
// hysteresis, changes hundreds of times as often with equal requests.
func TestReportedServiceTimeChangesRarely(t *testing.T) {
	g := NewWithT(t)
	const samples, endpoints = 20_000, 20
	changes, naive := 0, 0
	for seed := range uint64(endpoints) {
		var s ServiceTime
		random := rand.New(rand.NewPCG(seed, 1))
		median := time.Duration(30+seed) * time.Millisecond
		observe(&s, random, serviceSamples, median)
		reported, rounded := s.Reported(), math.Round(stepsOf(s.Median()))
		for range samples {
			observe(&s, random, 1, median)
			if s.Reported() != reported {
				changes++
			}
			if next := math.Round(stepsOf(s.Median())); next != rounded {
				naive, rounded = naive+1, next
			}
			reported = s.Reported()
		}
	}
	t.Logf("%d changes of %d endpoints in %d requests each, without hysteresis %d", changes, endpoints, samples, naive)
	g.Expect(changes).To(BeNumerically("<", naive/100))
}

// An endpoint that becomes slow, or fast again, must show within two windows of
// requests. A value that follows each window would change more often than once in 32 requests.
func TestReportedServiceTimeFollowsShifts(t *testing.T) {
	g := NewWithT(t)
	for seed := range uint64(100) {
		var s ServiceTime
		random := rand.New(rand.NewPCG(seed, 1))
		observe(&s, random, serviceSamples, 40*time.Millisecond)
		reported, age := s.Reported(), 0
		for _, median := range []time.Duration{88 * time.Millisecond, 40 * time.Millisecond} {
			for range 2 * serviceSamples {
				observe(&s, random, 1, median)
				if age++; s.Reported() != reported {
					g.Expect(age).To(BeNumerically(">=", samplesPerReport))
					reported, age = s.Reported(), 0
				}
			}
			g.Expect(reported).To(BeNumerically("~", median.Milliseconds(), 0.4*float64(median.Milliseconds())))
		}
	}
}

// Waits at a full or cold endpoint, and answers to another start's requests, say nothing about
// its speed.
func TestTableMeasuresOnlyRequestsThatFindAFreeSlot(t *testing.T) {
	g := NewWithT(t)
	const ms = time.Millisecond
	table := NewTable()
	now := time.Duration(0)
	// request sends a request on a new flow and returns a function that answers it.
	request := func(port uint16) (answer func(after time.Duration)) {
		from := netip.AddrPortFrom(caller.Addr(), port)
		table.Offer(now, Key{Caller: from, Dialed: dialed})
		table.HandleEndpointPacket(now, &Header{Source: dialed, Destination: from, IsSYN: true, IsACK: true, Seq: 100})
		table.HandleCallerPacket(now, &Header{Source: from, Destination: dialed, IsACK: true, Ack: 101, Length: 10})
		return func(after time.Duration) {
			now += after
			table.HandleEndpointPacket(now, &Header{Source: dialed, Destination: from, IsACK: true, Seq: 101, Length: 10})
		}
	}
	serve := func(count int, duration time.Duration) {
		for i := range count {
			request(uint16(2000 + i))(duration)
		}
	}
	serve(20, 10*ms)
	g.Expect(table.ServiceTime()).To(BeZero(), "no slots are known")
	table.SetMeasuredSlots(1)
	answer := request(1000)
	for port := range uint16(20) {
		request(1001 + port)
	}
	answer(30 * ms)
	for port := range uint16(20) {
		from := netip.AddrPortFrom(caller.Addr(), 1001+port)
		table.HandleEndpointPacket(now, &Header{Source: dialed, Destination: from, IsACK: true, Seq: 101, Length: 10})
	}
	g.Expect(table.LongestWait(now)).To(BeZero(), "the endpoint has just answered, so it is not stuck")
	g.Expect(table.serviceTime.count).To(Equal(1), "only the first request found a free slot")
	serve(20, 10*ms)
	g.Expect(table.ServiceTime()).To(Equal(10 * ms))
	answer = request(3000)
	table.DropServiceTime()
	answer(500 * ms)
	g.Expect(table.serviceTime.count).To(BeZero())
}

// A service time comes from another instance, and may be nonsense.
func TestServiceTimeOfBoundsItsInput(t *testing.T) {
	g := NewWithT(t)
	g.Expect(ServiceTimeOf(40)).To(Equal(40 * time.Millisecond))
	g.Expect(ServiceTimeOf(math.MaxUint32)).To(BeZero())
}
