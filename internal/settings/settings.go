// Package settings reads, checks and reloads the settings of a process.
package settings

import (
	"bytes"
	"errors"
	"fmt"
	"net"
	"os"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/go-playground/validator/v10"
	"github.com/magiconair/properties"

	"indigowalk/internal/kernel"
)

// EnvVar names the variable that holds the path of the settings file.
const EnvVar = "INDIGOWALK_SETTINGS"

// Error is a fault in the settings; it names the key.
type Error struct{ Key, Reason string }

func (e *Error) Error() string { return fmt.Sprintf("settings: %s: %s", e.Key, e.Reason) }

// Settings are what a process is told. Unknown keys are ignored. Spans that
// the operators set in milliseconds keep that unit here; Spans derives the
// working times in microseconds.
type Settings struct {
	NodeName    string `key:"node_name" validate:"required"`
	IP          string `key:"ip" validate:"required,ipv4"`
	Zone        string `key:"zone" validate:"required"`
	Region      string `key:"region"`
	ClientAddr  string `key:"listen.client_addr" validate:"omitempty,hostname_port"`
	ReadyAddr   string `key:"listen.ready_addr" validate:"omitempty,hostname_port"`
	ControlAddr string `key:"listen.control_addr" validate:"omitempty,hostname_port"`
	// BindIP is the address that is listened at and called from, where others reach this
	// machine at another, behind a translation of addresses say.
	BindIP      string   `key:"listen.bind_ip" validate:"omitempty,ipv4"`
	PortRange   []string `key:"port_range" validate:"len=2,dive,number"`
	Seeds       []string `key:"seeds" validate:"required,dive,hostname_port"`
	Bootstrap   bool     `key:"bootstrap"`
	DataDir     string   `key:"data_dir"`
	HeartbeatMs int64    `key:"heartbeat_ms" validate:"gte=0"`
	Deploy      string   `key:"deploy" default:"pooler"`

	MemMB  float64 `key:"limits.mem_mb" validate:"gte=0"`
	MaxFDs int64   `key:"limits.max_fds" validate:"gte=0"`
	// NetMbps is the bandwidth of the machine's own link; 0 if it is not known.
	NetMbps float64 `key:"limits.net_mbps" validate:"gte=0"`

	ContactMs  int64 `key:"bounds.contact_ms" default:"4000" validate:"gt=0"`
	DrainMs    int64 `key:"bounds.drain_ms" default:"7000" validate:"gt=0"`
	GraceS     int64 `key:"bounds.grace_s" default:"6" validate:"gt=0"`
	ApplyMs    int64 `key:"bounds.apply_ms" default:"3000" validate:"gt=0"`
	AckMs      int64 `key:"bounds.ack_ms" default:"5000" validate:"gt=0"`
	UnfreezeMs int64 `key:"bounds.unfreeze_ms" default:"300" validate:"gt=0"`
	CatchupS   int64 `key:"bounds.catchup_s" default:"4" validate:"gt=0"`

	// Whether keys that were taken away must not be served by any node, in touch or not,
	// and how soon.
	RevokeGlobal bool  `key:"bounds.revoke_global"`
	RevokeMs     int64 `key:"bounds.revoke_ms" default:"5000" validate:"gt=0"`

	// What may be sent again, over all nodes, is this share of the first sends of a
	// window.
	RetryRatio   float64 `key:"bounds.retry_ratio" default:"0.2" validate:"gte=0,lte=10"`
	RetryWindowS int64   `key:"bounds.retry_window_s" default:"10" validate:"gt=0"`

	// Over all nodes a tenant's operations in a window may exceed its limit by this
	// share of it, and by so many operations.
	QuotaWindowS int64   `key:"bounds.quota_window_s" default:"5" validate:"gt=0"`
	QuotaExcess  float64 `key:"bounds.quota_excess" default:"0.1" validate:"gte=0,lte=10"`
	QuotaSlack   float64 `key:"bounds.quota_slack" default:"20" validate:"gte=0"`

	TolerateHosts int64 `key:"tolerate.hosts" validate:"gte=0"`

	Platform string `key:"platform.address" validate:"omitempty,hostname_port"`

	ControlLeaseMs int64 `key:"tune.control_lease_ms" default:"1200" validate:"gte=100"`
	WitnessAwayMs  int64 `key:"tune.witness_away_ms" default:"3000" validate:"gte=100"`
	ReaderLeaseMs  int64 `key:"tune.reader_lease_ms" default:"2500" validate:"gte=100"`
	QuotaLeaseMs   int64 `key:"tune.quota_lease_ms" default:"600" validate:"gte=300"`
	PollMs         int64 `key:"tune.poll_ms" default:"600" validate:"gte=20"`
	ProbeMs        int64 `key:"tune.probe_ms" default:"1000" validate:"gte=20"`
	CheckMs        int64 `key:"tune.check_ms" default:"1000" validate:"gte=20"`
	CheckWaitMs    int64 `key:"tune.check_wait_ms" default:"150" validate:"gte=10"`
	QuietMs        int64 `key:"tune.quiet_ms" default:"100" validate:"gte=10"`
	SilenceMs      int64 `key:"tune.silence_ms" default:"700" validate:"gte=50"`
	// OrdersKept is how many orders of operators are known again when they are sent
	// again; an older one gets no clear answer.
	OrdersKept int64 `key:"tune.orders_kept" default:"512" validate:"gte=64,lte=4096"`
	// MetricsPort is where a pooler or gateway tells its counters, and the port above it
	// where a control node does; 0 for nowhere.
	MetricsPort int64 `key:"tune.metrics_port" default:"9464" validate:"gte=0,lt=65535"`
	RecordKB    int64 `key:"tune.record_kb" default:"0" validate:"gte=0,lte=32768"`
}

// Span converts a setting in milliseconds.
func Span(ms int64) kernel.Micros { return kernel.Micros(ms) * kernel.Millisecond }

// Port returns the nth free port of the range as an address on this machine.
func (s *Settings) Port(n int) string { return net.JoinHostPort(s.IP, strconv.Itoa(s.port(n))) }

func (s *Settings) port(n int) int {
	first, _ := strconv.Atoi(s.PortRange[0])
	return first + n
}

// MetricsAddr is where a process of the role tells its counters, "" for nowhere.
func (s *Settings) MetricsAddr(role string) string {
	port := s.MetricsPort
	switch {
	case port == 0:
		return ""
	case role == "control":
		port++
	}
	return net.JoinHostPort(s.IP, strconv.FormatInt(port, 10))
}

// API is the kind of deployment whose services have databases that are all
// alike, without a lead.
const API = "api"

// Ports of the range, by use.
const (
	ControlPort = 0 // calls and datagrams of a control node
	CarrierPort = 1 // calls and datagrams of a pooler or gateway
)

// SeedPeers turns the seeds' control addresses into the inner addresses of the
// control nodes there: every machine has the same ports.
func (s *Settings) SeedPeers() []string {
	out := make([]string, 0, len(s.Seeds))
	for _, seed := range s.Seeds {
		host, _, err := net.SplitHostPort(seed)
		if err == nil {
			out = append(out, net.JoinHostPort(host, strconv.Itoa(s.port(ControlPort))))
		}
	}
	return out
}

// Parse reads and checks settings; the error joins every fault found.
func Parse(raw []byte) (*Settings, error) {
	s := &Settings{}
	if err := Decode(raw, s); err != nil {
		return nil, err
	}
	return s, nil
}

// Decode reads lines of key=value into a struct whose fields bear the tags key,
// default and validate, and checks it; keys that no field bears are ignored. The
// error joins every fault found.
func Decode(raw []byte, into any) error {
	l := properties.Loader{Encoding: properties.UTF8, DisableExpansion: true}
	p, err := l.LoadBytes(raw)
	if err != nil {
		return &Error{"file", err.Error()}
	}
	var faults []error
	for _, f := range fieldsOf(into) {
		text, ok := p.Get(f.key)
		if !ok {
			text = f.fallback
		}
		if text = strings.TrimSpace(text); text == "" {
			continue
		}
		if err := f.set(text); err != nil {
			faults = append(faults, &Error{f.key, err.Error()})
		}
	}
	if len(faults) == 0 {
		faults = validate(into)
	}
	return errors.Join(faults...)
}

// Overlay changes those fields of a struct that the lines name, and checks it.
func Overlay(raw []byte, into any) error {
	p, err := properties.LoadString(string(raw))
	if err != nil {
		return &Error{"file", err.Error()}
	}
	for _, f := range fieldsOf(into) {
		text, ok := p.Get(f.key)
		if !ok {
			continue
		}
		if err := f.set(strings.TrimSpace(text)); err != nil {
			return &Error{f.key, err.Error()}
		}
	}
	return errors.Join(validate(into)...)
}

// Unknown lists the keys of a file that no field of the struct bears.
func Unknown(raw []byte, into any) (keys []string, err error) {
	p, err := properties.LoadString(string(raw))
	if err != nil {
		return nil, &Error{"file", err.Error()}
	}
	known := map[string]bool{}
	for _, f := range fieldsOf(into) {
		known[f.key] = true
	}
	for _, key := range p.Keys() {
		if !known[key] {
			keys = append(keys, key)
		}
	}
	return keys, nil
}

func validate(s any) []error {
	v := validator.New(validator.WithRequiredStructEnabled())
	v.RegisterTagNameFunc(keyOf)
	var out []error
	var bad validator.ValidationErrors
	if err := v.Struct(s); errors.As(err, &bad) {
		for _, f := range bad {
			reason := "fails " + f.Tag()
			if f.Param() != "" {
				reason += "=" + f.Param()
			}
			out = append(out, &Error{f.Field(), reason})
		}
	} else if err != nil {
		out = append(out, &Error{"file", err.Error()})
	}
	return out
}

// Live holds the settings in force and tells of changes.
type Live struct {
	path   string
	loaded fileStamp // of the file before it was read first
	mu     sync.Mutex
	now    *Settings
	bell   kernel.Bell
}

// A file may be read while it is being written.
const (
	// startWait is for how long a start waits for a faulty file to be whole.
	startWait = kernel.Second
	// startPause lies between two looks at such a file.
	startPause = 50 * kernel.Millisecond
	// settled is for how long a file is the same before it is put in force.
	settled = 20 * kernel.Millisecond
	// settledLooks is how often a file that keeps changing is read at most; its next
	// change is noticed anyway.
	settledLooks = 10
)

// Open reads settings from path. A change of the file from then on is noticed. A faulty
// file is refused once it has had a second to be written in full.
func Open(path string) (*Live, error) {
	for waited := kernel.Micros(0); ; waited += startPause {
		before := stamp(path)
		s, err := loadSettled(path)
		if err == nil {
			return &Live{path: path, loaded: before, now: s}, nil
		}
		if waited >= startWait {
			return nil, err
		}
		time.Sleep(startPause.Duration())
	}
}

// loadSettled reads and checks a settings file that does not change meanwhile.
func loadSettled(path string) (*Settings, error) {
	raw, err := os.ReadFile(path)
	for range settledLooks {
		if err != nil {
			return nil, &Error{EnvVar, err.Error()}
		}
		before := raw
		time.Sleep(settled.Duration())
		if raw, err = os.ReadFile(path); err == nil && bytes.Equal(raw, before) {
			break
		}
	}
	return Parse(raw)
}

// NewLive wraps settings that do not change.
func NewLive(s *Settings) *Live { return &Live{now: s} }

// Now returns the settings in force; they are not to be changed.
func (b *Live) Now() *Settings {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.now
}

// Changed returns a channel that closes at the next change.
func (b *Live) Changed() <-chan struct{} { return b.bell.Wait() }

// Reload reads the file again. A bad file leaves the old values in force.
func (b *Live) Reload() error {
	s, err := loadSettled(b.path)
	if err != nil {
		return err
	}
	b.mu.Lock()
	b.now = s
	b.mu.Unlock()
	b.bell.Ring()
	return nil
}
