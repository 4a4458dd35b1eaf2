// Package back calls one backend server over kept HTTP/1.1 connections.
//
// A backend server may answer late, twice, or in part. A Pool matches each
// answer to its request, reads it to the end that it declares, and keeps a
// connection only if nothing is left over on it. An error says whether any
// byte of the request may have reached the server.
//
// # Usage
//
//	p := back.New(back.Config{MaxConns: most, MaxAnswer: 8 << 20, Answers: matches})
//	a, err := p.Do(ctx, "10.0.0.7:8080", back.Request{Method: "GET", Path: "/x", ID: id})
//	var e *back.Error
//	if errors.As(err, &e) && !e.Sent { … it has not run … }
package back
