package flow

import "time"

// transmissionTimes are the times from the first transmission of a SYN to each of them.
var transmissionTimes = [...]time.Duration{0, 200 * time.Millisecond, 600 * time.Millisecond}

// TransmissionTime returns for how long at least a caller has waited when it sends a transmission
// of its SYN, numbered from 0.
func TransmissionTime(attempt int) time.Duration {
	return transmissionTimes[min(max(attempt, 0), len(transmissionTimes)-1)]
}
