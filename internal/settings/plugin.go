package settings

import (
	"context"
	"os"
	"os/signal"
	"path/filepath"
	"runtime"
	"syscall"

	"indigowalk/internal/kernel"
	"indigowalk/internal/memorybudget"
)

func init() {
	kernel.Register(kernel.Plugin{
		Name: "settings", Rank: 0, Roles: []string{"pooler", "gateway", "control", "hollow"},
		Build: func(k *kernel.Kernel) error {
			b := kernel.Need[*Live](k)
			if s := b.Now(); s.RecordKB > 0 {
				dir := s.DataDir
				if dir == "" {
					dir = os.TempDir()
				}
				r, err := kernel.NewRecorder(k, filepath.Join(dir, k.Role+".recording"), s.NodeName, s.RecordKB<<10)
				if err != nil {
					return err
				}
				k.Recorder = r
			}
			if addr := b.Now().MetricsAddr(k.Role); addr != "" && k.Role != "hollow" {
				k.Supervise("metrics", func(ctx context.Context) error { return k.ServeMetrics(ctx, addr) })
			}
			budget := memorybudget.New(b.Now().MemMB)
			kernel.Offer(k, budget)
			k.Counters.Observable("memorybudget.used", budget.Used)
			k.Counters.Observable("kernel.goroutines", func() int64 { return int64(runtime.NumGoroutine()) })
			stalls := kernel.NewStallDetector(k)
			kernel.Offer(k, stalls)
			k.Supervise("stalls", stalls.Serve)
			if b.path != "" {
				k.Supervise("settings", func(ctx context.Context) error { return b.watch(ctx, k) })
			}
			return nil
		},
	})
}

// watch reloads the settings on SIGHUP and, polling once a second, when the file has changed.
func (b *Live) watch(ctx context.Context, k *kernel.Kernel) error {
	hup := make(chan os.Signal, 1)
	signal.Notify(hup, syscall.SIGHUP)
	defer signal.Stop(hup)
	last := b.loaded
	tick := make(chan struct{}, 1)
	go func() {
		for kernel.Sleep(ctx, kernel.Second) {
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
			now := statFile(b.path)
			if now == last {
				continue
			}
			last = now
		case <-hup:
			last = statFile(b.path)
		}
		if err := b.Reload(); err != nil {
			k.Counters.Add("settings.reload_refused", 1)
			k.Log.Warn("settings reload failed; previous settings stay in force", "error", err)
			continue
		}
		k.Counters.Add("settings.reloads", 1)
	}
}

// fileStamp is the size and modification time of a file, to detect changes.
type fileStamp struct {
	size, modTime int64
}

// statFile returns the stamp of a file, or the zero stamp if the file cannot be read.
func statFile(path string) fileStamp {
	fi, err := os.Stat(path)
	if err != nil {
		return fileStamp{}
	}
	return fileStamp{fi.Size(), fi.ModTime().UnixMicro()}
}
