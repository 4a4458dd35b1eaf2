// Package admin serves the interface of a node for operators and for its own
// backend server: JSON over HTTP, and expvar variables. It is for loopback
// addresses only.
//
//	GET  /v1/status?scope=node|centre|fleet[&settings=true]
//	GET  /v1/explain?subject=S&scope=node|centre|fleet
//	POST /v1/drain[?node=NAME]
//	POST /v1/announce  {"address": "127.0.0.1:9001", "slots": 12}
//	POST /v1/leave
//	GET  /debug/vars
//
// # Usage
//
//	h := admin.Handler(admin.Config{Node: node, Vars: vars})
package admin

import (
	"context"
	"encoding/json"
	"expvar"
	"fmt"
	"io"
	"net"
	"net/http"
	"time"

	"tanagerchute/core/event"
	"tanagerchute/io/gate"
)

// Scope determines which nodes a query covers.
type Scope string

// Scopes.
const (
	ScopeNode       Scope = "node"   // only the queried node
	ScopeDataCentre Scope = "centre" // its data centre, or its region if there are regions
	ScopeFleet      Scope = "fleet"  // all data centres
)

// NodeStatus is the status of one node.
type NodeStatus struct {
	ID         string `json:"id"`   // of the node process
	Name       string `json:"name"` // of the instance
	Addr       string `json:"addr"`
	DataCentre string `json:"data_centre"`
	Service    string `json:"service"`
	Version    uint64 `json:"version"` // number of the version in force
	Digest     string `json:"digest,omitempty"`
	Refused    string `json:"refused,omitempty"` // why the newest version was refused
	Ready      bool   `json:"ready"`
	Draining   bool   `json:"draining,omitempty"`
	Reader     bool   `json:"reader,omitempty"`     // watches the store
	StoreLost  bool   `json:"store_lost,omitempty"` // is a reader that can't read the store
	InFlight   int    `json:"in_flight"`            // calls at its backend server
	Queued     int    `json:"queued"`               // calls that wait for it
	Limit      int    `json:"limit"`                // maximum of InFlight

	Settings SettingsStatus `json:"settings"`
}

// SettingsStatus describes the settings of one node.
type SettingsStatus struct {
	Digest   string    `json:"digest"` // see package drift
	LoadedAt time.Time `json:"loaded_at"`
	Pending  string    `json:"pending,omitempty"` // why the settings file differs from what is in force
	Build    string    `json:"build"`             // version of the program
	// Values holds the settings by key, if the query asks for them.
	Values map[string]string `json:"values,omitempty"`
}

// StatusQuery determines what a status contains.
type StatusQuery struct {
	Scope        Scope
	WithSettings bool // include the values of the settings
}

// Status is the status of the nodes that answered.
type Status struct {
	Nodes []NodeStatus `json:"nodes"`
	// Silent lists the nodes and data centres that did not answer.
	Silent []string `json:"silent,omitempty"`
}

// Explanation holds the events about a subject in the journals of the nodes that
// answered.
type Explanation struct {
	Events []event.Event `json:"events"`
	Silent []string      `json:"silent,omitempty"` // see Status
}

// Node is the node that the interface controls.
type Node interface {
	Status(ctx context.Context, q StatusQuery) Status
	Explain(ctx context.Context, subject string, scope Scope) Explanation
	// Drain starts a planned stop of the node with the given name or id, or of
	// this one if name is empty.
	Drain(ctx context.Context, name string) error
	// Announce handles an announcement of the backend server.
	Announce(b gate.Backend)
	// MarkBackendLeaving records that the backend server accepts no new calls.
	MarkBackendLeaving()
}

// Config configures a handler.
type Config struct {
	Node Node
	Vars *expvar.Map
}

// maxBodyBytes bounds the body of a request.
const maxBodyBytes = 64 << 10

// fleetQueryTimeout bounds a request, which may query the whole fleet.
const fleetQueryTimeout = 3 * time.Second

// Handler returns the handler of the admin interface.
func Handler(cfg Config) http.Handler {
	h := &handler{cfg}
	mux := http.NewServeMux()
	mux.HandleFunc("GET /v1/status", h.status)
	mux.HandleFunc("GET /v1/explain", h.explain)
	mux.HandleFunc("POST /v1/drain", h.drain)
	mux.HandleFunc("POST /v1/announce", h.announce)
	mux.HandleFunc("POST /v1/leave", h.leave)
	mux.HandleFunc("GET /debug/vars", h.vars)
	return mux
}

type handler struct {
	cfg Config
}

func parseScope(r *http.Request) (Scope, error) {
	switch s := Scope(r.FormValue("scope")); s {
	case "":
		return ScopeNode, nil
	case ScopeNode, ScopeDataCentre, ScopeFleet:
		return s, nil
	default:
		return "", fmt.Errorf("scope %q is not node, centre or fleet", s)
	}
}

func (h *handler) status(w http.ResponseWriter, r *http.Request) {
	scope, err := parseScope(r)
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	ctx, cancel := context.WithTimeout(r.Context(), fleetQueryTimeout)
	defer cancel()
	writeJSON(w, h.cfg.Node.Status(ctx, StatusQuery{Scope: scope, WithSettings: r.FormValue("settings") == "true"}))
}

func (h *handler) explain(w http.ResponseWriter, r *http.Request) {
	scope, err := parseScope(r)
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	ctx, cancel := context.WithTimeout(r.Context(), fleetQueryTimeout)
	defer cancel()
	writeJSON(w, h.cfg.Node.Explain(ctx, r.FormValue("subject"), scope))
}

func (h *handler) drain(w http.ResponseWriter, r *http.Request) {
	ctx, cancel := context.WithTimeout(r.Context(), fleetQueryTimeout)
	defer cancel()
	if err := h.cfg.Node.Drain(ctx, r.FormValue("node")); err != nil {
		http.Error(w, err.Error(), http.StatusNotFound)
		return
	}
	writeJSON(w, struct{}{})
}

func (h *handler) announce(w http.ResponseWriter, r *http.Request) {
	var b gate.Backend
	dec := json.NewDecoder(io.LimitReader(r.Body, maxBodyBytes))
	dec.DisallowUnknownFields()
	if err := dec.Decode(&b); err != nil {
		http.Error(w, "announcement: "+err.Error(), http.StatusBadRequest)
		return
	}
	host, _, err := net.SplitHostPort(b.Address)
	if err != nil || net.ParseIP(host) == nil || b.Slots < 1 {
		http.Error(w, "announcement needs an address of an IP number and a port, and at least one slot", http.StatusBadRequest)
		return
	}
	h.cfg.Node.Announce(b)
	writeJSON(w, struct{}{})
}

func (h *handler) leave(w http.ResponseWriter, _ *http.Request) {
	h.cfg.Node.MarkBackendLeaving()
	writeJSON(w, struct{}{})
}

func (h *handler) vars(w http.ResponseWriter, _ *http.Request) {
	w.Header().Set("Content-Type", "application/json; charset=utf-8")
	fmt.Fprintln(w, h.cfg.Vars.String())
}

func writeJSON(w http.ResponseWriter, v any) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(v) // fails only if the client has disconnected
}
