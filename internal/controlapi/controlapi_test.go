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

// AnswerInItsTerm: a control node reads the configuration and is held up before the
// answer leaves. Meanwhile it loses its term, another takes a change, and it
// wins a later term: the answer made in the old one does not leave, and nothing
// that was begun in the old one holds a lease.
func TestAnswerInItsTerm(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := simulation.NewWorld(t, 1, 3)
		defer w.Close()
		w.Group("ledger")
		w.Boot()
		w.Configure()
		at := func(z int) *controlstate.Replica {
			if p := w.Process("control", z); p != nil {
				return kernel.Need[*controlstate.Replica](p.Kernel)
			}
			return nil
		}
		leads := func(z int) bool { v := at(z); _, err := v.Term(); return err == nil }
		awaitLead := func(zones ...int) (found int) {
			w.Until("a primary", 6*time.Second, func() bool {
				for _, z := range zones {
					if at(z) != nil && leads(z) {
						found = z
					}
				}
				return found != 0
			})
			return found
		}
		first := awaitLead(1, 2, 3)
		k := w.Process("control", first).Kernel
		term, err := at(first).Term()
		if err != nil || controlstate.TermOf(term.Context()) != term || controlstate.TermOf(t.Context()).Valid() {
			t.Fatalf("the term of its context is not found: %v", err)
		}
		r := controlapi.New(k, "10.0.0.9:8782", at(first), kernel.Need[*discovery.Registry](k), kernel.Need[*routeconfig.Registry](k))
		read, release := make(chan struct{}), make(chan struct{})
		answer, left := httptest.NewRecorder(), make(chan struct{})
		go func() {
			defer close(left)
			r.InTerm(func(out http.ResponseWriter, _ *http.Request) {
				body, err := kernel.Need[*routeconfig.Registry](k).Fetch()
				if err != nil {
					t.Errorf("read in the first term: %v", err)
				}
				close(read)
				<-release
				out.Write(body)
			})(answer, httptest.NewRequest("GET", "/Conf.Fetch", nil))
		}()
		<-read

		w.Isolate(first, true)
		second := awaitLead(1+first%3, 1+(first+1)%3)
		third := 6 - first - second
		w.Until("a change is taken", 3*time.Second, func() bool { return w.Replace(second, 1, w.Configuration(2)) == 200 })
		w.Isolate(first, false)
		w.Process("control", third).Kill()
		w.Until("the first is a backup", 6*time.Second, func() bool {
			view, is := at(second).Primary()
			return is && view.Has(at(first).Self())
		})
		w.Start("control", third, false)
		time.Sleep(time.Second)
		w.Process("control", second).Term()
		w.Start("control", second, false)
		w.Until("the first leads again", 6*time.Second, func() bool { return leads(first) })
		close(release)
		<-left

		if answer.Code != http.StatusServiceUnavailable {
			t.Errorf("answered %d %.40s", answer.Code, answer.Body)
		}
		if epoch, left := term.Lease(); term.Valid() || epoch != 0 || left != 0 || term.Context().Err() == nil {
			t.Errorf("the first term runs on: epoch %d, %d us, %v", epoch, left, term.Context().Err())
		}
		if now, err := at(first).Term(); err != nil || now.Began() <= term.Began() || w.Fetch() != 2 {
			t.Errorf("the later term: %v, version %d", err, w.Fetch())
		}
	})
}
