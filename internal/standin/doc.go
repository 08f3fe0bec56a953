// Package standin holds small stand-ins for the platform and the targets: the
// append-only log service, the lagging host list, and a target with gray
// failures. Faults are switched over HTTP, so that a test, a demo and a person
// use them alike. They are for tests and demonstrations only.
package standin

import (
	"encoding/json"
	"net/http"
)

// FaultPath is the path at which every stand-in takes its faults as JSON with
// PUT and reports them with GET.
const FaultPath = "/fault"

func writeJSON(w http.ResponseWriter, v any) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(v)
}
