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
			live := kernel.Need[*Live](k)
			if s := live.Now(); s.RecordKB > 0 {
				dir := s.DataDir
				if dir == "" {
					dir = os.TempDir()
				}
				recorder, err := kernel.NewRecorder(k, filepath.Join(dir, k.Role+".recording"), s.NodeName, s.RecordKB<<10)
				if err != nil {
					return err
				}
				k.Recorder = recorder
			}
			if addr := live.Now().MetricsAddr(k.Role); addr != "" && k.Role != "hollow" {
				k.Supervise("metrics", func(ctx context.Context) error { return k.ServeMetrics(ctx, addr) })
			}
			budget := memorybudget.New(live.Now().MemMB)
			kernel.Offer(k, budget)
			k.Counters.Observable("memorybudget.used", budget.Used)
			k.Counters.Observable("kernel.goroutines", func() int64 { return int64(runtime.NumGoroutine()) })
			stalls := kernel.NewStallDetector(k)
			kernel.Offer(k, stalls)
			k.Supervise("stalls", stalls.Serve)
			if live.path != "" {
				k.Supervise("settings", func(ctx context.Context) error { return live.watch(ctx, k) })
			}
			return nil
		},
	})
}

// watch reloads the settings on SIGHUP, and after a change of the file, for which it checks once
// a second.
func (l *Live) watch(ctx context.Context, k *kernel.Kernel) error {
	hangup := make(chan os.Signal, 1)
	signal.Notify(hangup, syscall.SIGHUP)
	defer signal.Stop(hangup)
	lastStamp := l.loaded
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
			stamp := statFile(l.path)
			if stamp == lastStamp {
				continue
			}
			lastStamp = stamp
		case <-hangup:
			lastStamp = statFile(l.path)
		}
		if err := l.Reload(); err != nil {
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
	info, err := os.Stat(path)
	if err != nil {
		return fileStamp{}
	}
	return fileStamp{info.Size(), info.ModTime().UnixMicro()}
}
