// Package standin implements simulated services for tests and demonstrations
// only: the platform's append-only log service, its host list with propagation
// delay, and a target with gray failures. Faults are configured over HTTP, so
// that tests, demonstrations and operators use the same interface.
package standin

import (
	"encoding/json"
	"net/http"
)

// FaultPath is the path at which a simulated service accepts its faults as JSON
// with PUT. The log service and the target also return them with GET.
const FaultPath = "/fault"

func writeJSON(w http.ResponseWriter, v any) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(v)
}
