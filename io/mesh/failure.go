package mesh

import (
	"slices"
	"time"

	"go.uber.org/zap"
)

// Crash is the end of a backend server by server.Faults.Crash.
type Crash struct {
	Instance string
	At       time.Time
}

// Isolation states what a data centre is disconnected from.
type Isolation struct {
	Store            bool
	OtherDataCentres bool // all other data centres, in both directions
}

// Isolate disconnects a data centre from what iso states, or reconnects it if iso is
// zero. It replaces the effect of earlier calls, also for other data centres. Data
// on the affected open connections is dropped, but the connections are not closed.
func (m *Mesh) Isolate(dataCentre string, iso Isolation) {
	for _, c := range m.dataCentres {
		if c != dataCentre {
			m.blackholes[c].Set(func(addr string) bool { return iso.OtherDataCentres && m.centreByAddr[addr] == dataCentre })
		}
	}
	m.blackholes[dataCentre].Set(func(addr string) bool {
		target, known := m.centreByAddr[addr]
		if !known {
			return iso.Store
		}
		return iso.OtherDataCentres && target != dataCentre
	})
}

// BlackholeOpenConns drops all data on the open connections between nodes, without
// closing them. New connections are not affected.
func (m *Mesh) BlackholeOpenConns() {
	for _, c := range m.blackholes {
		c.DropOpen(func(addr string) bool { return m.centreByAddr[addr] != "" })
	}
}

// crashBackend stops the backend server of instance i immediately, and starts it again
// with the same faults at the same address after Config.CrashDowntime.
func (m *Mesh) crashBackend(i int) {
	in := m.Instances[i]
	m.mu.Lock()
	m.crashes = append(m.crashes, Crash{in.Spec.Name, time.Now()})
	faults, addr := in.Backend.Faults(), in.backendAddr
	m.mu.Unlock()
	m.KillBackend(i)
	time.AfterFunc(m.cfg.CrashDowntime, func() {
		if m.ctx.Err() != nil {
			return
		}
		if err := m.startBackend(i, addr, faults); err != nil {
			m.cfg.Log.Error("backend_failed", zap.String("node", in.Spec.Name), zap.Error(err))
		}
	})
}

// Crashes returns the crashes of backend servers so far, oldest first.
func (m *Mesh) Crashes() []Crash {
	m.mu.Lock()
	defer m.mu.Unlock()
	return slices.Clone(m.crashes)
}

// KillBackend stops the backend server of instance i immediately.
func (m *Mesh) KillBackend(i int) {
	m.mu.Lock()
	defer m.mu.Unlock()
	in := m.Instances[i]
	if in.stopAnnouncing != nil {
		in.stopAnnouncing()
		_ = in.backendHTTP.Close()
	}
}

// Kill stops the node and the backend server of instance i immediately, without
// draining.
func (m *Mesh) Kill(i int) {
	m.Instances[i].Node.Kill()
	m.KillBackend(i)
	<-m.Instances[i].nodeDone
}
