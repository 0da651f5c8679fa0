package controlapi_test

import (
	"net/http"
	"net/http/httptest"
	"testing"
	"testing/synctest"
	"time"

	"indigowalk/internal/controlapi"
	"indigowalk/internal/controlstate"
	"indigowalk/internal/discovery"
	"indigowalk/internal/kernel"
	"indigowalk/internal/routeconfig"
	"indigowalk/internal/simulation"
)

// A control node reads the configuration and is paused before it sends the response. In the
// meantime its term ends, another node accepts a change, and the first node wins a later term.
// The response made in the old term must not be sent, and nothing that was begun in that term may
// still hold a lease.
func TestResponseOfEndedTermIsDropped(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		world := simulation.NewWorld(t, 1, 3)
		defer world.Close()
		world.AddGroup("ledger")
		world.Boot()
		world.Configure()
		replicaOf := func(zone int) *controlstate.Replica {
			if process := world.Process("control", zone); process != nil {
				return kernel.Need[*controlstate.Replica](process.Kernel)
			}
			return nil
		}
		isPrimary := func(zone int) bool { replica := replicaOf(zone); _, err := replica.Term(); return err == nil }
		awaitPrimary := func(zones ...int) (found int) {
			world.WaitUntil("a primary", 6*time.Second, func() bool {
				for _, zone := range zones {
					if replicaOf(zone) != nil && isPrimary(zone) {
						found = zone
					}
				}
				return found != 0
			})
			return found
		}
		first := awaitPrimary(1, 2, 3)
		k := world.Process("control", first).Kernel
		term, err := replicaOf(first).Term()
		if err != nil || controlstate.TermFromContext(term.Context()) != term || controlstate.TermFromContext(t.Context()).Valid() {
			t.Fatalf("the context of the term does not yield the term: %v", err)
		}
		server := controlapi.New(k, "10.0.0.9:8782", replicaOf(first), kernel.Need[*discovery.Registry](k), kernel.Need[*routeconfig.Registry](k))
		read, release := make(chan struct{}), make(chan struct{})
		response, returned := httptest.NewRecorder(), make(chan struct{})
		go func() {
			defer close(returned)
			server.OnPrimary(func(w http.ResponseWriter, _ *http.Request) {
				body, err := kernel.Need[*routeconfig.Registry](k).Fetch()
				if err != nil {
					t.Errorf("no configuration was read in the first term: %v", err)
				}
				close(read)
				<-release
				w.Write(body)
			})(response, httptest.NewRequest("GET", "/Conf.Fetch", nil))
		}()
		<-read

		world.Isolate(first, true)
		second := awaitPrimary(1+first%3, 1+(first+1)%3)
		third := 6 - first - second
		world.WaitUntil("a change is accepted", 3*time.Second, func() bool { return world.Replace(second, 1, world.Configuration(2)) == 200 })
		world.Isolate(first, false)
		world.Process("control", third).Kill()
		world.WaitUntil("the first is a backup", 6*time.Second, func() bool {
			view, known := replicaOf(second).Primary()
			return known && view.Has(replicaOf(first).Self())
		})
		world.Start("control", third, false)
		time.Sleep(time.Second)
		world.Process("control", second).Terminate()
		world.Start("control", second, false)
		world.WaitUntil("the first is the primary again", 6*time.Second, func() bool { return isPrimary(first) })
		close(release)
		<-returned

		if response.Code != http.StatusServiceUnavailable {
			t.Errorf("the response of the ended term was sent: %d %.40s", response.Code, response.Body)
		}
		if epoch, left := term.Lease(); term.Valid() || epoch != 0 || left != 0 || term.Context().Err() == nil {
			t.Errorf("the first term is still valid: epoch %d, %d us, %v", epoch, left, term.Context().Err())
		}
		if later, err := replicaOf(first).Term(); err != nil || later.FirstEpoch() <= term.FirstEpoch() || world.FetchVersion() != 2 {
			t.Errorf("no later term, or not version 2 of the configuration: error %v, version %d", err, world.FetchVersion())
		}
	})
}
