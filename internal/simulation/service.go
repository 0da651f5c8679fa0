package simulation

import (
	"fmt"
	"time"

	"indigowalk/internal/standin"
)

// Service is a group of equivalent databases in a world that serve HTTP requests.
type Service struct {
	*standin.Service
	world *World
}

// Worker is one database of a Service, Answer the response to a client of a gateway, RequestLoad a
// workload of requests, and Fault a way in which a worker misbehaves.
type (
	Worker      = standin.Worker
	Answer      = standin.Answer
	RequestLoad = standin.RequestLoad
	Fault       = standin.Fault
)

// Faults that can be injected into workers; package standin describes them.
const (
	NoFault           = standin.NoFault
	SendsNoResponse   = standin.SendsNoResponse
	ClosesAfterRun    = standin.ClosesAfterRun
	TruncatesResponse = standin.TruncatesResponse
	SendsGarbage      = standin.SendsGarbage
	RespondsTwice     = standin.RespondsTwice
	RejectsAsFull     = standin.RejectsAsFull
	Resets            = standin.Resets
	Errors            = standin.Errors
	ClosesIdle        = standin.ClosesIdle
	SendsLongResponse = standin.SendsLongResponse
	StallsInResponse  = standin.StallsInResponse
)

// requestHost is the IP address of the gateways' clients.
const requestHost = "10.251.0.1"

// AddService adds a service with the given number of databases in each zone.
func (w *World) AddService(name string, perZone int) *Service {
	s := &Service{standin.NewService(environment{w}, name), w}
	w.Services[name] = s
	for z := 1; z <= w.Zones(); z++ {
		for i := range perZone {
			s.Add(fmt.Sprintf("%s-%d-%d", name, z, i), fmt.Sprintf("10.%d.%d.%d", z, 100+len(w.Services), i+1), fmt.Sprintf("z%d", z))
		}
	}
	return s
}

// Send sends one request to a zone's gateway. A safe request may run more than once.
func (s *Service) Send(zone int, id string, safe bool, body string) Answer {
	return s.Service.SendRequest(s.world.Net.Host(requestHost), ip(zone)+":8784", id, safe, body)
}

// StartRequests starts clients that send safe and unsafe requests to the gateways of all zones.
func (s *Service) StartRequests(clients int, pause time.Duration) *RequestLoad {
	var gateways []standin.Gateway
	for z := 1; z <= s.world.Zones(); z++ {
		gateways = append(gateways, standin.Gateway{Number: z, Address: standin.FixedAddress(ip(z) + ":8784"), Network: s.world.Net.Host(requestHost)})
	}
	return s.Service.StartLoad(gateways, clients, pause, nil)
}
