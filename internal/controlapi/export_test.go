package controlapi

import "net/http"

// InTerm has a handler answer as the control address does.
func (r *Server) InTerm(h http.HandlerFunc) http.HandlerFunc { return r.primary(h) }
