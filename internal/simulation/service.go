package simulation

import (
	"fmt"
	"time"

	"indigowalk/internal/standin"
)

// Service is a group of databases that answer requests, each alike, in a world.
type Service struct {
	*standin.Service
	w *World
}

// Worker is one database of a Service, Answer what a client of a gateway was told, and
// Requests a load of requests.
type (
	Worker   = standin.Worker
	Answer   = standin.Answer
	Requests = standin.Requests
	Fault    = standin.Fault
)

// Faults of workers.
const (
	Well      = standin.Well
	Mute      = standin.Mute
	Loses     = standin.Loses
	Breaks    = standin.Breaks
	Garbles   = standin.Garbles
	Surplus   = standin.Surplus
	Sheds     = standin.Sheds
	Resets    = standin.Resets
	Errors    = standin.Errors
	Forgetful = standin.Forgetful
	Long      = standin.Long
	Stalls    = standin.Stalls
)

// requestHost is the address of the gateways' clients.
const requestHost = "10.251.0.1"

// Service adds a service of so many databases in each zone.
func (w *World) Service(name string, each int) *Service {
	s := &Service{standin.NewService(environment{w}, name), w}
	w.Services[name] = s
	for z := 1; z <= w.Zones; z++ {
		for i := range each {
			s.Add(fmt.Sprintf("%s-%d-%d", name, z, i), fmt.Sprintf("10.%d.%d.%d", z, 100+len(w.Services), i+1), fmt.Sprintf("z%d", z))
		}
	}
	return s
}

// Ask sends one request to a zone's gateway; safe ones may run more than once.
func (s *Service) Ask(zone int, id string, safe bool, body string) Answer {
	return s.Service.Ask(s.w.Net.Host(requestHost), ip(zone)+":8784", id, safe, body)
}

// Load starts clients in every zone, which send safe and unsafe requests.
func (s *Service) Load(clients int, pause time.Duration) *Requests {
	var entries []standin.Entry
	for z := 1; z <= s.w.Zones; z++ {
		entries = append(entries, standin.Entry{Number: z, Address: standin.At(ip(z) + ":8784"), Network: s.w.Net.Host(requestHost)})
	}
	return s.Service.Load(entries, clients, pause, nil)
}
