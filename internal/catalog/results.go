package catalog

import "sassafrasturn.example/internal/wire"

// results stores the results of submissions, so that a resent command gets the
// result of the first one. The number of results and the size of their
// documents are bounded.
type results struct {
	byID map[string]*wire.CommandResult
	// order is the list of IDs, oldest first.
	order []string
	// withoutDocument is the number of oldest results whose documents were removed.
	withoutDocument int
	documentBytes   int
}

func newResults() results {
	return results{byID: make(map[string]*wire.CommandResult)}
}

func (r *results) get(id string) *wire.CommandResult {
	if id == "" {
		return nil
	}
	return r.byID[id]
}

func (r *results) add(id string, result *wire.CommandResult) {
	if id == "" {
		return
	}
	r.byID[id] = result
	r.order = append(r.order, id)
	r.documentBytes += len(result.Document)
	if len(r.order) > MaxStoredResults {
		r.dropOldest()
	}
	for r.documentBytes > MaxResultDocumentBytes {
		r.dropDocument()
	}
}

func (r *results) dropOldest() {
	oldest := r.order[0]
	r.documentBytes -= len(r.byID[oldest].Document)
	delete(r.byID, oldest)
	r.order = r.order[1:]
	r.withoutDocument = max(r.withoutDocument-1, 0)
}

// dropDocument replaces the oldest result that still has its document by a copy
// without it. Results that callers have already received are not modified.
func (r *results) dropDocument() {
	id := r.order[r.withoutDocument]
	r.withoutDocument++
	result := r.byID[id]
	if len(result.Document) == 0 {
		return
	}
	r.documentBytes -= len(result.Document)
	r.byID[id] = &wire.CommandResult{Outcome: result.Outcome, Index: result.Index, Version: result.Version, Findings: result.Findings}
}
