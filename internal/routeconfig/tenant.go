package routeconfig

import (
	"crypto/sha256"
	"encoding/base64"
	"fmt"
	"maps"
	"slices"
)

// Tenant is who may send: its keys, its rank and its quota over all nodes.
type Tenant struct {
	Name string   `json:"name" validate:"required"`
	Keys []string `json:"api_keys"`
	TenantTerms
}

// TenantTerms are what a tenant is served by.
type TenantTerms struct {
	Prio     int     `json:"prio,omitempty" validate:"gte=0"`       // before the route's; 0 is the highest
	RatePerS float64 `json:"rate_per_s,omitempty" validate:"gte=0"` // operations a second; 0 for no limit
	Burst    float64 `json:"burst,omitempty" validate:"gte=0"`      // operations on top
}

// Bounds of tenants.
const (
	maxTenants = 10_000
	maxRate    = 1e9 // operations a second, or on top
)

// KeyDigest stands for a key wherever that need not be known itself: at carriers, in
// logs and in what tools show.
type KeyDigest [16]byte

// DigestOf returns the digest of a key.
func DigestOf(key string) (d KeyDigest) {
	sum := sha256.Sum256([]byte(key))
	copy(d[:], sum[:])
	return d
}

// MarshalText implements encoding.TextMarshaler.
func (d KeyDigest) MarshalText() ([]byte, error) {
	return base64.RawStdEncoding.AppendEncode(nil, d[:]), nil
}

// UnmarshalText implements encoding.TextUnmarshaler.
func (d *KeyDigest) UnmarshalText(text []byte) error {
	raw, err := base64.RawStdEncoding.DecodeString(string(text))
	if err != nil || len(raw) != len(d) {
		return fmt.Errorf("routeconfig: no digest of a key")
	}
	copy(d[:], raw)
	return nil
}

// checkTenants returns what is wrong with the tenants between each other. No key is
// in what it says.
func checkTenants(tenants []Tenant) (faults []Fault) {
	if len(tenants) > maxTenants {
		return []Fault{{"tenants", fmt.Sprintf("are over %d", maxTenants)}}
	}
	names, keys := map[string]bool{}, map[string]int{}
	for i, t := range tenants {
		place := fmt.Sprintf("tenants[%d]", i)
		if names[t.Name] {
			faults = append(faults, Fault{place + ".name", "is there twice"})
		}
		names[t.Name] = true
		if t.RatePerS > maxRate || t.Burst > maxRate {
			faults = append(faults, Fault{place, fmt.Sprintf("has a rate_per_s or burst over %.0f", maxRate)})
		}
		for n, key := range t.Keys {
			owner, known := keys[key]
			switch {
			case key == "":
				faults = append(faults, Fault{fmt.Sprintf("%s.api_keys[%d]", place, n), "is empty"})
			case known && owner != i:
				faults = append(faults, Fault{fmt.Sprintf("%s.api_keys[%d]", place, n), "is a key of another tenant too"})
			}
			keys[key] = i
		}
	}
	return faults
}

// Redacted is the configuration without its keys, for whoever may see the rest.
func (c *Configuration) Redacted() *Configuration {
	if c == nil || len(c.Tenants) == 0 {
		return c
	}
	out := *c
	out.Tenants = slices.Clone(c.Tenants)
	for i := range out.Tenants {
		out.Tenants[i].Keys = nil
	}
	return &out
}

// TenantStep is a tenant as carriers are told of it.
type TenantStep struct {
	Name string `json:"name"`
	TenantTerms
	Keys []KeyDigest `json:"keys"`
}

// tenantStep makes one of a tenant.
func tenantStep(t Tenant) TenantStep {
	step := TenantStep{Name: t.Name, TenantTerms: t.TenantTerms, Keys: make([]KeyDigest, 0, len(t.Keys))}
	for _, key := range t.Keys {
		step.Keys = append(step.Keys, DigestOf(key))
	}
	return step
}

func (t TenantStep) equal(o TenantStep) bool {
	return t.Name == o.Name && t.TenantTerms == o.TenantTerms && slices.Equal(t.Keys, o.Keys)
}

// tenantHistory keeps since which sequence each tenant is as it is.
type tenantHistory struct {
	now map[string]TenantStep
	at  map[string]int64 // seq at which a tenant last changed, or went
}

// turn takes the tenants of a sequence in.
func (h *tenantHistory) turn(tenants []Tenant, seq int64) {
	if h.at == nil {
		h.at = map[string]int64{}
	}
	next := make(map[string]TenantStep, len(tenants))
	for _, t := range tenants {
		step := tenantStep(t)
		next[t.Name] = step
		if was, known := h.now[t.Name]; !known || !was.equal(step) {
			h.at[t.Name] = seq
		}
	}
	for name := range h.now {
		if _, still := next[name]; !still {
			h.at[name] = seq
		}
	}
	h.now = next
}

// since lists the tenants that changed since a sequence, all if whole, and the names
// of those that went.
func (h *tenantHistory) since(seq int64, whole bool) (changed []TenantStep, gone []string) {
	for _, name := range slices.Sorted(maps.Keys(h.now)) {
		if whole || h.at[name] > seq {
			changed = append(changed, h.now[name])
		}
	}
	if whole {
		return changed, nil
	}
	for _, name := range slices.Sorted(maps.Keys(h.at)) {
		if _, there := h.now[name]; !there && h.at[name] > seq {
			gone = append(gone, name)
		}
	}
	return changed, gone
}

// tenantIndex is the tenants as carriers look them up.
type tenantIndex struct {
	byName map[string]TenantStep
	byKey  map[KeyDigest]*TenantStep
}

// next returns the index after a step; x stays as it is.
func (x tenantIndex) next(s *Step) tenantIndex {
	if !s.All && len(s.Tenants) == 0 && len(s.GoneTenants) == 0 {
		return x
	}
	n := tenantIndex{byName: map[string]TenantStep{}, byKey: map[KeyDigest]*TenantStep{}}
	if !s.All {
		maps.Copy(n.byName, x.byName)
	}
	for _, t := range s.Tenants {
		n.byName[t.Name] = t
	}
	for _, name := range s.GoneTenants {
		delete(n.byName, name)
	}
	for _, t := range n.byName {
		for _, key := range t.Keys {
			n.byKey[key] = &t
		}
	}
	return n
}

// HasTenants tells whether clients need a key.
func (x *Index) HasTenants() bool { return x != nil && len(x.tenants.byName) > 0 }

// Tenant returns who holds a key, nil if nobody does.
func (x *Index) Tenant(key KeyDigest) *TenantStep {
	if x == nil {
		return nil
	}
	return x.tenants.byKey[key]
}

// Tenants lists all, by name. The map is not to be changed.
func (x *Index) Tenants() map[string]TenantStep {
	if x == nil {
		return nil
	}
	return x.tenants.byName
}
