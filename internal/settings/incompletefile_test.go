package settings

import (
	"os"
	"path/filepath"
	"strings"
	"testing"
	"testing/synctest"
	"time"
)

// incompleteFile returns the path of a settings file that contains only the given beginning at
// first, and is complete after the delay.
func incompleteFile(t *testing.T, beginning string, delay time.Duration) (path string) {
	t.Helper()
	path = filepath.Join(t.TempDir(), "boot.conf")
	write := func(text string) {
		if err := os.WriteFile(path, []byte(text), 0o644); err != nil {
			t.Error(err)
		}
	}
	write(beginning)
	go func() {
		time.Sleep(delay)
		write(validSettings)
	}()
	return path
}

func TestOpenWaitsForIncompleteFile(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		live, err := Open(incompleteFile(t, validSettings[:40], 300*time.Millisecond))
		if err != nil {
			t.Fatal(err)
		}
		if live.Now().GraceS != 6 {
			t.Errorf("the complete file was not applied: grace period of %d s", live.Now().GraceS)
		}
	})
}

func TestOpenRejectsFileThatStaysInvalid(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		start := time.Now()
		if _, err := Open(incompleteFile(t, validSettings[:40], time.Minute)); err == nil {
			t.Error("an incomplete file was accepted")
		}
		if waited := time.Since(start); waited > 2*time.Second {
			t.Errorf("the incomplete file was rejected only after %v", waited)
		}
		// The delayed write must end before this function does, since the time of a synctest bubble
		// stops then.
		time.Sleep(time.Minute)
	})
}

// A file that has all required keys may still be incomplete, and must not be applied yet.
func TestReloadWaitsForIncompleteFile(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		beginning, _, _ := strings.Cut(validSettings, "bounds.grace_s")
		live, err := Open(incompleteFile(t, validSettings, 0))
		if err != nil {
			t.Fatal(err)
		}
		live.path = incompleteFile(t, beginning, 5*time.Millisecond)
		changed := live.Changed()
		if err := live.Reload(); err != nil {
			t.Fatal(err)
		}
		select {
		case <-changed:
		default:
			t.Error("Reload did not signal the change")
		}
		if live.Now().GraceS != 6 {
			t.Errorf("the incomplete file was applied: grace period of %d s", live.Now().GraceS)
		}
	})
}
