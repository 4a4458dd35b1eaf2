package plat

import (
	"encoding/json"
	"io"
	"net/http"
	"strconv"

	"tanagerchute/io/etcd"
)

// watch serves one watch until its caller goes or the store goes down.
func (s *Server) watch(w http.ResponseWriter, r *http.Request) {
	s.nwatch.Add(1)
	cut := s.cutChannel()
	if fail := s.admit(r.Context(), s.reads, false); fail != nil {
		fail.write(w)
		return
	}
	var req etcd.WatchRequest
	if err := json.NewDecoder(io.LimitReader(r.Body, maxBody)).Decode(&req); err != nil {
		(&failure{http.StatusBadRequest, 3, err.Error()}).write(w)
		return
	}
	s.stream(w, r, req.Create, cut)
}

func (s *Server) stream(w http.ResponseWriter, r *http.Request, c etcd.WatchCreate, cut <-chan struct{}) {
	enc := json.NewEncoder(w)
	rc := http.NewResponseController(w)
	send := func(res etcd.WatchResult) bool {
		return enc.Encode(etcd.WatchResponse{Result: res}) == nil && rc.Flush() == nil
	}
	_, rev, _, compacted := s.mem.since(0, nil, nil)
	next := c.StartRevision
	if next == 0 {
		next = rev + 1
	}
	if next <= compacted {
		send(etcd.WatchResult{Canceled: true, CompactRevision: compacted + 1})
		return
	}
	if !send(etcd.WatchResult{Header: etcd.Header{Revision: rev}, Created: true}) {
		return
	}
	for {
		changes, rev, changed, _ := s.mem.since(next, c.Key, c.RangeEnd)
		if len(changes) > 0 && !s.Faults().MuteWatches {
			res := etcd.WatchResult{Header: etcd.Header{Revision: rev}}
			for _, x := range changes {
				res.Events = append(res.Events, x.event)
			}
			if !send(res) {
				return
			}
		}
		next = rev + 1
		select {
		case <-changed:
		case <-cut:
			panic(http.ErrAbortHandler)
		case <-r.Context().Done():
			return
		}
	}
}

func (s *Server) getFaults(w http.ResponseWriter, _ *http.Request) {
	writeJSON(w, http.StatusOK, s.Faults())
}

func (s *Server) putFaults(w http.ResponseWriter, r *http.Request) {
	var f Faults
	dec := json.NewDecoder(io.LimitReader(r.Body, maxBody))
	dec.DisallowUnknownFields()
	if err := dec.Decode(&f); err != nil {
		(&failure{http.StatusBadRequest, 3, err.Error()}).write(w)
		return
	}
	s.SetFaults(f)
	writeJSON(w, http.StatusOK, f)
}

func (s *Server) lapse(w http.ResponseWriter, _ *http.Request) {
	s.Lapse()
	writeJSON(w, http.StatusOK, struct{}{})
}

// rollbackHead undoes the last changes of the keys with the prefix in the
// query, as many as the query says.
func (s *Server) rollbackHead(w http.ResponseWriter, r *http.Request) {
	n, err := strconv.Atoi(r.FormValue("changes"))
	if err != nil || n < 1 {
		(&failure{http.StatusBadRequest, 3, "changes wants a number over 0"}).write(w)
		return
	}
	s.Rollback(r.FormValue("prefix"), n)
	writeJSON(w, http.StatusOK, struct{}{})
}

func (s *Server) getCalls(w http.ResponseWriter, _ *http.Request) {
	writeJSON(w, http.StatusOK, s.Calls())
}
