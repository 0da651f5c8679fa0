package settings

import (
	"os"
	"path/filepath"
	"strings"
	"testing"
	"testing/synctest"
	"time"
)

// halfWritten is a settings file of which the beginning is there, and the rest a while
// later.
func halfWritten(t *testing.T, beginning string, later time.Duration) (path string) {
	t.Helper()
	path = filepath.Join(t.TempDir(), "boot.conf")
	write := func(text string) {
		if err := os.WriteFile(path, []byte(text), 0o644); err != nil {
			t.Error(err)
		}
	}
	write(beginning)
	go func() {
		time.Sleep(later)
		write(good)
	}()
	return path
}

func TestStartWaitsForAFileThatIsBeingWritten(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b, err := Open(halfWritten(t, good[:40], 300*time.Millisecond))
		if err != nil {
			t.Fatal(err)
		}
		if b.Now().GraceS != 6 {
			t.Errorf("grace of %d s", b.Now().GraceS)
		}
	})
}

func TestStartRefusesAFileThatStaysFaulty(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		began := time.Now()
		if _, err := Open(halfWritten(t, good[:40], time.Minute)); err == nil {
			t.Error("half a file was taken")
		}
		if waited := time.Since(began); waited > 2*time.Second {
			t.Errorf("refused after %v", waited)
		}
		time.Sleep(time.Minute)
	})
}

// What has every key that is required may be half a file all the same.
func TestReloadWaitsForAFileThatIsBeingWritten(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		beginning, _, _ := strings.Cut(good, "bounds.grace_s")
		b, err := Open(halfWritten(t, good, 0))
		if err != nil {
			t.Fatal(err)
		}
		b.path = halfWritten(t, beginning, 5*time.Millisecond)
		changed := b.Changed()
		if err := b.Reload(); err != nil {
			t.Fatal(err)
		}
		select {
		case <-changed:
		default:
			t.Error("nobody was told")
		}
		if b.Now().GraceS != 6 {
			t.Errorf("a grace of %d s is in force, which no file ever told", b.Now().GraceS)
		}
	})
}
