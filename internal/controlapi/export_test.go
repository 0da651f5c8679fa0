package controlapi

import "net/http"

// OnPrimary wraps a handler as those of requests to the control address are wrapped.
func (s *Server) OnPrimary(handler http.HandlerFunc) http.HandlerFunc { return s.onPrimary(handler) }
