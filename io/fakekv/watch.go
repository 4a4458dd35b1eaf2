package fakekv

import (
	"encoding/json"
	"io"
	"net/http"
	"strconv"
	"time"

	"tanagerchute/io/etcd"
)

// watch serves one watch until the client disconnects or the store goes down.
func (s *Server) watch(w http.ResponseWriter, r *http.Request) {
	s.watchCalls.Add(1)
	down := s.downChannel()
	if fail := s.admit(r.Context(), s.reads, false); fail != nil {
		fail.write(w)
		return
	}
	var req etcd.WatchRequest
	if err := json.NewDecoder(io.LimitReader(r.Body, maxBodyBytes)).Decode(&req); err != nil {
		(&gatewayError{http.StatusBadRequest, 3, err.Error()}).write(w)
		return
	}
	s.streamWatch(w, r, req.Create, down)
}

// streamWatch sends the changes in the range of c. The watch is canceled at once
// if the store does not have its start revision, because it has been compacted or
// was only given out in an earlier era.
func (s *Server) streamWatch(w http.ResponseWriter, r *http.Request, c etcd.WatchCreate, down <-chan struct{}) {
	enc := json.NewEncoder(w)
	rc := http.NewResponseController(w)
	send := func(res etcd.WatchResult) bool {
		return enc.Encode(etcd.WatchResponse{Result: res}) == nil && rc.Flush() == nil
	}
	_, rev, _, compacted := s.store.changesSince(0, nil, nil)
	next := c.StartRevision
	if next == 0 {
		next = rev + 1
	}
	if next <= compacted || next > rev+1 {
		send(etcd.WatchResult{Canceled: true, CompactRevision: compacted + 1})
		return
	}
	if !send(etcd.WatchResult{Header: etcd.Header{Revision: rev}, Created: true}) {
		return
	}
	for {
		changes, rev, changed, _ := s.store.changesSince(next, c.Key, c.RangeEnd)
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
		case <-down:
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
	dec := json.NewDecoder(io.LimitReader(r.Body, maxBodyBytes))
	dec.DisallowUnknownFields()
	if err := dec.Decode(&f); err != nil {
		(&gatewayError{http.StatusBadRequest, 3, err.Error()}).write(w)
		return
	}
	s.SetFaults(f)
	writeJSON(w, http.StatusOK, f)
}

func (s *Server) postLapse(w http.ResponseWriter, _ *http.Request) {
	s.ExpireLeases()
	writeJSON(w, http.StatusOK, struct{}{})
}

// postRollback undoes the last changes of keys. The query gives their number
// and the prefix of the keys.
func (s *Server) postRollback(w http.ResponseWriter, r *http.Request) {
	n, err := strconv.Atoi(r.FormValue("changes"))
	if err != nil || n < 1 {
		(&gatewayError{http.StatusBadRequest, 3, "changes must be a positive number"}).write(w)
		return
	}
	s.Rollback(r.FormValue("prefix"), n)
	writeJSON(w, http.StatusOK, struct{}{})
}

// postCopy takes a copy for postRestore.
func (s *Server) postCopy(w http.ResponseWriter, _ *http.Request) {
	s.TakeCopy()
	writeJSON(w, http.StatusOK, struct{}{})
}

// postRestore restarts the store from the last copy. The query may give the time
// for which the store is away. The answer carries the new era.
func (s *Server) postRestore(w http.ResponseWriter, r *http.Request) {
	away, err := time.ParseDuration(r.FormValue("away"))
	if err != nil && r.FormValue("away") != "" {
		(&gatewayError{http.StatusBadRequest, 3, err.Error()}).write(w)
		return
	}
	s.RestoreCopy(away)
	newEraWriter(s, w.(*eraWriter).ResponseWriter).WriteHeader(http.StatusOK)
}

func (s *Server) getCalls(w http.ResponseWriter, _ *http.Request) {
	writeJSON(w, http.StatusOK, s.Calls())
}
