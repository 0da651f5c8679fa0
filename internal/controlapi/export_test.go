package controlapi

import "net/http"

// InTerm wraps a handler the way requests to the control address are handled.
func (r *Server) InTerm(h http.HandlerFunc) http.HandlerFunc { return r.onPrimary(h) }
