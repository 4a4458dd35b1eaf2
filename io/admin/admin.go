// Package admin is the loopback interface of a node for operators and for its
// own backend server: JSON over HTTP, and expvar counters.
//
//	GET  /v1/status?scope=node|centre|fleet
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

// Scope says how far a question goes.
type Scope string

// Scopes.
const (
	ScopeNode       Scope = "node"
	ScopeDataCentre Scope = "centre"
	ScopeFleet      Scope = "fleet"
)

// NodeStatus is the state of one node.
type NodeStatus struct {
	ID         string `json:"id"`
	Name       string `json:"name"`
	Addr       string `json:"addr"`
	DataCentre string `json:"data_centre"`
	Service    string `json:"service"`
	Version    uint64 `json:"version"`
	Digest     string `json:"digest,omitempty"`
	Refused    string `json:"refused,omitempty"`
	Ready      bool   `json:"ready"`
	Draining   bool   `json:"draining,omitempty"`
	Reader     bool   `json:"reader,omitempty"`
	StoreLost  bool   `json:"store_lost,omitempty"`
	InFlight   int    `json:"in_flight"`
	Queued     int    `json:"queued"`
	Limit      int    `json:"limit"`
}

// Status is the state of the nodes that answered.
type Status struct {
	Nodes []NodeStatus `json:"nodes"`
	// Silent lists nodes, and data centres, that did not answer.
	Silent []string `json:"silent,omitempty"`
}

// Explanation is the events that the nodes remember about a subject.
type Explanation struct {
	Events []event.Event `json:"events"`
	Silent []string      `json:"silent,omitempty"`
}

// Node is what the interface needs of a node.
type Node interface {
	Status(ctx context.Context, scope Scope) Status
	Explain(ctx context.Context, subject string, scope Scope) Explanation
	// Drain stops the node called name, or this one if name is empty.
	Drain(ctx context.Context, name string) error
	Announce(b gate.Backend)
	MarkBackendLeaving()
}

// Config configures the handler.
type Config struct {
	Node Node
	Vars *expvar.Map
}

// maxBody bounds a request, in bytes.
const maxBody = 64 << 10

// askTimeout bounds a question to the whole fleet.
const askTimeout = 3 * time.Second

// Handler returns the interface.
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

func scopeOf(r *http.Request) (Scope, error) {
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
	scope, err := scopeOf(r)
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	ctx, cancel := context.WithTimeout(r.Context(), askTimeout)
	defer cancel()
	write(w, h.cfg.Node.Status(ctx, scope))
}

func (h *handler) explain(w http.ResponseWriter, r *http.Request) {
	scope, err := scopeOf(r)
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	ctx, cancel := context.WithTimeout(r.Context(), askTimeout)
	defer cancel()
	write(w, h.cfg.Node.Explain(ctx, r.FormValue("subject"), scope))
}

func (h *handler) drain(w http.ResponseWriter, r *http.Request) {
	ctx, cancel := context.WithTimeout(r.Context(), askTimeout)
	defer cancel()
	if err := h.cfg.Node.Drain(ctx, r.FormValue("node")); err != nil {
		http.Error(w, err.Error(), http.StatusNotFound)
		return
	}
	write(w, struct{}{})
}

func (h *handler) announce(w http.ResponseWriter, r *http.Request) {
	var b gate.Backend
	dec := json.NewDecoder(io.LimitReader(r.Body, maxBody))
	dec.DisallowUnknownFields()
	if err := dec.Decode(&b); err != nil {
		http.Error(w, "announcement: "+err.Error(), http.StatusBadRequest)
		return
	}
	host, _, err := net.SplitHostPort(b.Address)
	if err != nil || net.ParseIP(host) == nil || b.Slots < 1 {
		http.Error(w, "announcement wants an address of an IP number and port, and at least one slot", http.StatusBadRequest)
		return
	}
	h.cfg.Node.Announce(b)
	write(w, struct{}{})
}

func (h *handler) leave(w http.ResponseWriter, _ *http.Request) {
	h.cfg.Node.MarkBackendLeaving()
	write(w, struct{}{})
}

func (h *handler) vars(w http.ResponseWriter, _ *http.Request) {
	w.Header().Set("Content-Type", "application/json; charset=utf-8")
	fmt.Fprintln(w, h.cfg.Vars.String())
}

func write(w http.ResponseWriter, v any) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(v) // the asker has gone if this fails
}
