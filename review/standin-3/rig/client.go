package rig

import (
	"bytes"
	"io"
	"net/http"
	"strconv"
	"time"
)

// Request is a request of a client.
type Request struct {
	Method     string
	Host       string
	Path       string
	ID         string // a new one if it is empty
	DeadlineMs int
	Header     map[string]string
	Body       []byte
}

// Answer is what the client got.
type Answer struct {
	ID     string
	SentAt time.Time
	At     time.Time
	Status int // 0 if there was no answer
	Header http.Header
	Body   []byte
	Err    error
}

// Send sends a request of a client on the machine, on a new connection, and waits for the answer.
func (m *Machine) Send(r Request) Answer {
	if r.ID == "" {
		r.ID = NewID()
	}
	if r.DeadlineMs == 0 {
		r.DeadlineMs = 2500
	}
	a := Answer{ID: r.ID}
	var body io.Reader
	if r.Body != nil {
		body = bytes.NewReader(r.Body)
	}
	req, err := http.NewRequest(r.Method, "http://"+m.Outbound+r.Path, body)
	if err != nil {
		a.Err = err
		return a
	}
	req.Host = r.Host
	req.Header.Set("Mesh-Attempt-Id", r.ID)
	req.Header.Set("Mesh-Deadline-Ms", strconv.Itoa(r.DeadlineMs))
	for k, v := range r.Header {
		req.Header.Set(k, v)
	}
	client := http.Client{
		Timeout:   time.Duration(r.DeadlineMs) * time.Millisecond,
		Transport: &http.Transport{DisableKeepAlives: true, DisableCompression: true},
	}
	a.SentAt = time.Now()
	m.rig.cfg.Record.Add("client at %s sends %s %s %s", m.Name, r.ID, r.Method, r.Path)
	res, err := client.Do(req)
	if err == nil {
		a.Status, a.Header = res.StatusCode, res.Header
		a.Body, err = io.ReadAll(res.Body)
		_ = res.Body.Close()
	}
	a.Err, a.At = err, time.Now()
	m.rig.cfg.Record.Add("client at %s gets %s status %d error %v", m.Name, r.ID, a.Status, err)
	return a
}
