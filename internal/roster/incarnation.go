package roster

// Incarnation returns the highest known incarnation of an agent, or 0 if the roster lacks it.
func (r *Roster) Incarnation(key Key) uint64 {
	if e := r.entries[key]; e != nil {
		return e.record.Incarnation
	}
	return 0
}
