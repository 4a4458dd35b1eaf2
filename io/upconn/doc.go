// Package upconn pools the connections to one backend server, the upstream of
// this node, and sends requests over them as an HTTP/1.1 client.
//
// A backend server may answer late, twice, in part, or with bytes that are no
// answer. A Pool checks the lines of each head and trailer, tells from the head
// where the body ends, and reads it to an end that the server has sent. It matches
// each answer to its request, and reuses a connection only if no unread bytes are
// left on it. An Error reports whether any byte of the request may have reached the
// server.
//
// What an answer takes comes out of the memory budget: a head before it is parsed,
// a body before it is read.
//
// # Usage
//
//	p := upconn.New(upconn.Config{MaxConns: maxConns, MaxAnswerBytes: 8 << 20, Parse: parse, Rules: rules})
//	a, err := p.Do(ctx, "10.0.0.7:8080", upconn.Request{Method: "GET", Path: "/x", ID: id})
//	var e *upconn.Error
//	if errors.As(err, &e) && !e.Sent { … the request has not run … }
package upconn
