// Package settings reads, validates and reloads the settings of a process.
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

// EnvVar is the environment variable that holds the path of the settings file.
const EnvVar = "INDIGOWALK_SETTINGS"

// Error reports an invalid setting by its key.
type Error struct{ Key, Reason string }

func (e *Error) Error() string { return fmt.Sprintf("settings: %s: %s", e.Key, e.Reason) }

// Settings is the configuration of a process. Unknown keys are ignored. Durations keep the
// unit in which operators set them, which the names of the fields end with; FromMillis
// converts milliseconds to microseconds.
type Settings struct {
	NodeName    string `key:"node_name" validate:"required"`
	IP          string `key:"ip" validate:"required,ipv4"`
	Zone        string `key:"zone" validate:"required"`
	Region      string `key:"region"`
	ClientAddr  string `key:"listen.client_addr" validate:"omitempty,hostname_port"`
	ReadyAddr   string `key:"listen.ready_addr" validate:"omitempty,hostname_port"`
	ControlAddr string `key:"listen.control_addr" validate:"omitempty,hostname_port"`
	// BindIP is the local address to listen on and dial from, if it differs from the address
	// at which others reach this machine, for example behind NAT.
	BindIP      string   `key:"listen.bind_ip" validate:"omitempty,ipv4"`
	PortRange   []string `key:"port_range" validate:"len=2,dive,number"`
	Seeds       []string `key:"seeds" validate:"required,dive,hostname_port"`
	Bootstrap   bool     `key:"bootstrap"`
	DataDir     string   `key:"data_dir"`
	HeartbeatMs int64    `key:"heartbeat_ms" validate:"gte=0"`
	Deploy      string   `key:"deploy" default:"pooler"`

	MemMB  float64 `key:"limits.mem_mb" validate:"gte=0"`
	MaxFDs int64   `key:"limits.max_fds" validate:"gte=0"`
	// NetMbps is the bandwidth of the machine's own network link; 0 if unknown.
	NetMbps float64 `key:"limits.net_mbps" validate:"gte=0"`

	ContactMs int64 `key:"bounds.contact_ms" default:"4000" validate:"gt=0"`
	// DrainMs is how long requests may still reach a database after its deregistration was
	// acknowledged.
	DrainMs int64 `key:"bounds.drain_ms" default:"7000" validate:"gt=0"`
	// GraceS is the time that a process has for a graceful shutdown.
	GraceS     int64 `key:"bounds.grace_s" default:"6" validate:"gt=0"`
	ApplyMs    int64 `key:"bounds.apply_ms" default:"3000" validate:"gt=0"`
	AckMs      int64 `key:"bounds.ack_ms" default:"5000" validate:"gt=0"`
	UnfreezeMs int64 `key:"bounds.unfreeze_ms" default:"300" validate:"gt=0"`
	// CatchupS is how long changes are refused while there are fewer control nodes than
	// TolerateHosts requires.
	CatchupS int64 `key:"bounds.catchup_s" default:"4" validate:"gt=0"`

	// If RevokeGlobal is set, every node must refuse a revoked API key within RevokeMs, even
	// a node that is partitioned from the control nodes.
	RevokeGlobal bool  `key:"bounds.revoke_global"`
	RevokeMs     int64 `key:"bounds.revoke_ms" default:"5000" validate:"gt=0"`

	// The retry budget: over all nodes, retries may amount to this ratio of the first
	// attempts in a window.
	RetryRatio   float64 `key:"bounds.retry_ratio" default:"0.2" validate:"gte=0,lte=10"`
	RetryWindowS int64   `key:"bounds.retry_window_s" default:"10" validate:"gt=0"`

	// Over all nodes, a tenant's operations in a window may exceed its limit by the
	// fraction QuotaExcess of the limit, plus QuotaSlack operations.
	QuotaWindowS int64   `key:"bounds.quota_window_s" default:"5" validate:"gt=0"`
	QuotaExcess  float64 `key:"bounds.quota_excess" default:"0.1" validate:"gte=0,lte=10"`
	QuotaSlack   float64 `key:"bounds.quota_slack" default:"20" validate:"gte=0"`

	// TolerateHosts is how many control machines may be lost at once, disks included, without
	// loss of the control state.
	TolerateHosts int64 `key:"tolerate.hosts" validate:"gte=0"`

	PlatformAddr string `key:"platform.address" validate:"omitempty,hostname_port"`

	ControlLeaseMs     int64 `key:"tune.control_lease_ms" default:"1200" validate:"gte=100"` // lease of the primary control node
	WitnessTimeoutMs   int64 `key:"tune.witness_away_ms" default:"3000" validate:"gte=100"`  // a witness unreachable for longer is replaced
	ReaderLeaseMs      int64 `key:"tune.reader_lease_ms" default:"2500" validate:"gte=100"`  // read lease of a proxy
	QuotaLeaseMs       int64 `key:"tune.quota_lease_ms" default:"600" validate:"gte=300"`
	LongPollTimeoutMs  int64 `key:"tune.poll_ms" default:"600" validate:"gte=20"`       // timeout of a proxy's long poll of the control state
	ProbeIntervalMs    int64 `key:"tune.probe_ms" default:"1000" validate:"gte=20"`     // interval of membership probes
	CheckIntervalMs    int64 `key:"tune.check_ms" default:"1000" validate:"gte=20"`     // interval of health checks of a database that is down
	CheckTimeoutMs     int64 `key:"tune.check_wait_ms" default:"150" validate:"gte=10"` // timeout of a health check, and of connecting to a database
	SuspicionTimeoutMs int64 `key:"tune.quiet_ms" default:"100" validate:"gte=10"`      // a response that takes longer makes its database suspect
	PeerTimeoutMs      int64 `key:"tune.silence_ms" default:"700" validate:"gte=50"`    // a connection to a database that is unresponsive for longer is closed
	// ChangesRemembered is how many recent configuration changes are remembered, so that a change
	// that is submitted again is recognized. An older change that is submitted again gets no
	// definite response.
	ChangesRemembered int64 `key:"tune.orders_kept" default:"512" validate:"gte=64,lte=4096"`
	// MetricsPort is the port at which a pooler or gateway serves its metrics; a control
	// node uses the next higher port. 0 disables metrics.
	MetricsPort int64 `key:"tune.metrics_port" default:"9464" validate:"gte=0,lt=65535"`
	RecordKB    int64 `key:"tune.record_kb" default:"0" validate:"gte=0,lte=32768"`
}

// FromMillis converts a setting in milliseconds to microseconds.
func FromMillis(ms int64) kernel.Micros { return kernel.Micros(ms) * kernel.Millisecond }

// Port returns this machine's address with the nth port of the port range, counted from 0.
func (s *Settings) Port(n int) string { return net.JoinHostPort(s.IP, strconv.Itoa(s.port(n))) }

func (s *Settings) port(n int) int {
	first, _ := strconv.Atoi(s.PortRange[0])
	return first + n
}

// MetricsAddr returns the address at which a process of the role serves its metrics, or ""
// if metrics are disabled.
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

// DeployAPI is the value of Settings.Deploy for deployments whose services have equivalent
// databases without a leader.
const DeployAPI = "api"

// Offsets into the port range, by use.
const (
	ControlPort = 0 // RPCs and datagrams of a control node
	ProxyPort   = 1 // RPCs and datagrams of a pooler or gateway
)

// SeedPeers returns the internal addresses of the control nodes at the seeds, derived from
// their control addresses: every machine uses the same port range.
func (s *Settings) SeedPeers() []string {
	addrs := make([]string, 0, len(s.Seeds))
	for _, seed := range s.Seeds {
		host, _, err := net.SplitHostPort(seed)
		if err == nil {
			addrs = append(addrs, net.JoinHostPort(host, strconv.Itoa(s.port(ControlPort))))
		}
	}
	return addrs
}

// Parse decodes and validates settings; the error joins all errors found.
func Parse(raw []byte) (*Settings, error) {
	s := &Settings{}
	if err := Decode(raw, s); err != nil {
		return nil, err
	}
	return s, nil
}

// Decode reads key=value lines into the struct that into points to, whose fields have the tags
// key, default and validate, and validates it. Keys without a field are ignored. The error
// joins all errors found.
func Decode(raw []byte, into any) error {
	loader := properties.Loader{Encoding: properties.UTF8, DisableExpansion: true}
	p, err := loader.LoadBytes(raw)
	if err != nil {
		return &Error{"file", err.Error()}
	}
	var errs []error
	for _, field := range structFields(into) {
		text, ok := p.Get(field.key)
		if !ok {
			text = field.defaultText
		}
		if text = strings.TrimSpace(text); text == "" {
			continue
		}
		if err := field.set(text); err != nil {
			errs = append(errs, &Error{field.key, err.Error()})
		}
	}
	if len(errs) == 0 {
		errs = validate(into)
	}
	return errors.Join(errs...)
}

// Overlay sets only those fields of a struct whose keys occur in raw, and validates the struct.
func Overlay(raw []byte, into any) error {
	p, err := properties.LoadString(string(raw))
	if err != nil {
		return &Error{"file", err.Error()}
	}
	for _, field := range structFields(into) {
		text, ok := p.Get(field.key)
		if !ok {
			continue
		}
		if err := field.set(strings.TrimSpace(text)); err != nil {
			return &Error{field.key, err.Error()}
		}
	}
	return errors.Join(validate(into)...)
}

// UnknownKeys lists the keys in a file for which the struct has no field.
func UnknownKeys(raw []byte, into any) (keys []string, err error) {
	p, err := properties.LoadString(string(raw))
	if err != nil {
		return nil, &Error{"file", err.Error()}
	}
	known := map[string]bool{}
	for _, field := range structFields(into) {
		known[field.key] = true
	}
	for _, key := range p.Keys() {
		if !known[key] {
			keys = append(keys, key)
		}
	}
	return keys, nil
}

// validate checks a struct against its validate tags.
func validate(s any) []error {
	v := validator.New(validator.WithRequiredStructEnabled())
	v.RegisterTagNameFunc(keyTag)
	var errs []error
	var invalid validator.ValidationErrors
	if err := v.Struct(s); errors.As(err, &invalid) {
		for _, invalidField := range invalid {
			reason := "fails " + invalidField.Tag()
			if invalidField.Param() != "" {
				reason += "=" + invalidField.Param()
			}
			errs = append(errs, &Error{invalidField.Field(), reason})
		}
	} else if err != nil {
		errs = append(errs, &Error{"file", err.Error()})
	}
	return errs
}

// Live holds the current settings of a process and notifies of their changes.
type Live struct {
	path    string
	loaded  fileStamp // of the file, taken before it was first read
	mu      sync.Mutex
	current *Settings
	changed kernel.Notifier
}

// Limits for reading a settings file that may still be being written.
const (
	// startTimeout is how long startup retries a file that is invalid, and possibly
	// incomplete.
	startTimeout = kernel.Second
	// startRetryInterval is the interval of these retries.
	startRetryInterval = 50 * kernel.Millisecond
	// stablePeriod is how long a file must be unchanged before its settings are applied.
	stablePeriod = 20 * kernel.Millisecond
	// maxStableReads bounds the reads of a file that keeps changing; its next change is
	// detected anyway.
	maxStableReads = 10
)

// Open reads the settings from path, and records the state of the file so that later changes
// are detected. It rejects an invalid file only after startTimeout, because the file may
// still be being written.
func Open(path string) (*Live, error) {
	for waited := kernel.Micros(0); ; waited += startRetryInterval {
		before := statFile(path)
		s, err := loadStable(path)
		if err == nil {
			return &Live{path: path, loaded: before, current: s}, nil
		}
		if waited >= startTimeout {
			return nil, err
		}
		time.Sleep(startRetryInterval.Duration())
	}
}

// loadStable reads and validates a settings file once its content has stopped changing.
func loadStable(path string) (*Settings, error) {
	raw, err := os.ReadFile(path)
	for range maxStableReads {
		if err != nil {
			return nil, &Error{EnvVar, err.Error()}
		}
		before := raw
		time.Sleep(stablePeriod.Duration())
		if raw, err = os.ReadFile(path); err == nil && bytes.Equal(raw, before) {
			break
		}
	}
	return Parse(raw)
}

// NewLive returns a Live with settings that are not backed by a file and do not change.
func NewLive(s *Settings) *Live { return &Live{current: s} }

// Now returns the current settings; the caller must not modify them.
func (l *Live) Now() *Settings {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.current
}

// Changed returns a channel that is closed at the next change.
func (l *Live) Changed() <-chan struct{} { return l.changed.Wait() }

// Reload reads the file again. If the file is invalid, the previous settings stay in force.
func (l *Live) Reload() error {
	s, err := loadStable(l.path)
	if err != nil {
		return err
	}
	l.mu.Lock()
	l.current = s
	l.mu.Unlock()
	l.changed.NotifyAll()
	return nil
}
