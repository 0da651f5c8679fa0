package charter

import (
	"context"
	"os"
	"os/signal"
	"path/filepath"
	"syscall"

	"indigowalk/internal/foundation"
)

func init() {
	foundation.Register(foundation.Plugin{
		Name: "charter", Rank: 0, Roles: []string{"desk", "turnstile", "archive", "hollow"},
		Build: func(k *foundation.Kernel) error {
			b := foundation.Need[*Book](k)
			if s := b.Now(); s.RecordKB > 0 {
				dir := s.DataDir
				if dir == "" {
					dir = os.TempDir()
				}
				r, err := foundation.NewRecorder(k, filepath.Join(dir, k.Role+".recording"), s.NodeName, s.RecordKB<<10)
				if err != nil {
					return err
				}
				k.Recorder = r
			}
			if b.path != "" {
				k.Supervise("charter", func(ctx context.Context) error { return b.watch(ctx, k) })
			}
			return nil
		},
	})
}

// watch reloads at SIGHUP and when the file changes by itself.
func (b *Book) watch(ctx context.Context, k *foundation.Kernel) error {
	hup := make(chan os.Signal, 1)
	signal.Notify(hup, syscall.SIGHUP)
	defer signal.Stop(hup)
	seen := b.loaded
	tick := make(chan struct{}, 1)
	go func() {
		for foundation.Sleep(ctx, foundation.Second) {
			select {
			case tick <- struct{}{}:
			default:
			}
		}
	}()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-tick:
			now := stamp(b.path)
			if now == seen {
				continue
			}
			seen = now
		case <-hup:
			seen = stamp(b.path)
		}
		if err := b.Reload(); err != nil {
			k.Counters.Add("charter.reload_refused", 1)
			k.Log.Warn("settings not reloaded, old values kept", "error", err)
			continue
		}
		k.Counters.Add("charter.reloads", 1)
	}
}

type fileStamp struct {
	size, when int64
}

func stamp(path string) fileStamp {
	fi, err := os.Stat(path)
	if err != nil {
		return fileStamp{}
	}
	return fileStamp{fi.Size(), fi.ModTime().UnixMicro()}
}
