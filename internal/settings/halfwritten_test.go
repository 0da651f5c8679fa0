package settings

import (
	"os"
	"path/filepath"
	"strings"
	"testing"
	"testing/synctest"
	"time"
)

// halfWritten returns the path of a settings file that contains only its beginning at first,
// and is complete after the delay.
func halfWritten(t *testing.T, beginning string, delay time.Duration) (path string) {
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
		write(good)
	}()
	return path
}

func TestOpenWaitsForIncompleteFile(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b, err := Open(halfWritten(t, good[:40], 300*time.Millisecond))
		if err != nil {
			t.Fatal(err)
		}
		if b.Now().GraceS != 6 {
			t.Errorf("grace period of %d s", b.Now().GraceS)
		}
	})
}

func TestOpenRejectsFileThatStaysInvalid(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		began := time.Now()
		if _, err := Open(halfWritten(t, good[:40], time.Minute)); err == nil {
			t.Error("an incomplete file was accepted")
		}
		if waited := time.Since(began); waited > 2*time.Second {
			t.Errorf("rejected only after %v", waited)
		}
		time.Sleep(time.Minute)
	})
}

// A file that has all required keys may still be incomplete.
func TestReloadWaitsForIncompleteFile(t *testing.T) {
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
			t.Error("the change was not notified")
		}
		if b.Now().GraceS != 6 {
			t.Errorf("a grace period of %d s is in force, which no complete file contained", b.Now().GraceS)
		}
	})
}
