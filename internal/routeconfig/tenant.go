package routeconfig

import (
	"crypto/sha256"
	"encoding/base64"
	"fmt"
	"maps"
	"slices"
)

// Tenant is a client organization: its API keys, its priority and its quota over all nodes.
type Tenant struct {
	Name string   `json:"name" validate:"required"`
	Keys []string `json:"api_keys"`
	TenantTerms
}

// TenantTerms are a tenant's priority and quota.
type TenantTerms struct {
	Prio     int     `json:"prio,omitempty" validate:"gte=0"`       // takes precedence over the route's; 0 is the highest
	RatePerS float64 `json:"rate_per_s,omitempty" validate:"gte=0"` // operations per second; 0 for no limit
	Burst    float64 `json:"burst,omitempty" validate:"gte=0"`      // operations allowed on top of the rate
}

// Limits for tenants.
const (
	maxTenants = 10_000
	maxRate    = 1e9 // bounds the rate in operations per second, and the burst in operations
)

// KeyDigest is the digest of an API key. It is used instead of the key wherever the key itself
// is not needed: at proxies, in logs and in the output of tools.
type KeyDigest [16]byte

// DigestOf returns the digest of an API key.
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
	decoded, err := base64.RawStdEncoding.DecodeString(string(text))
	if err != nil || len(decoded) != len(d) {
		return fmt.Errorf("routeconfig: no digest of a key")
	}
	copy(d[:], decoded)
	return nil
}

// checkTenants returns the field errors of the tenants, including conflicts between them. The errors
// never contain an API key.
func checkTenants(tenants []Tenant) (fieldErrors []FieldError) {
	if len(tenants) > maxTenants {
		return []FieldError{{"tenants", fmt.Sprintf("are over %d", maxTenants)}}
	}
	names, keys := map[string]bool{}, map[string]int{}
	for i, t := range tenants {
		field := fmt.Sprintf("tenants[%d]", i)
		if names[t.Name] {
			fieldErrors = append(fieldErrors, FieldError{field + ".name", "is there twice"})
		}
		names[t.Name] = true
		if t.RatePerS > maxRate || t.Burst > maxRate {
			fieldErrors = append(fieldErrors, FieldError{field, fmt.Sprintf("has a rate_per_s or burst over %.0f", maxRate)})
		}
		for k, key := range t.Keys {
			owner, known := keys[key]
			switch {
			case key == "":
				fieldErrors = append(fieldErrors, FieldError{fmt.Sprintf("%s.api_keys[%d]", field, k), "is empty"})
			case known && owner != i:
				fieldErrors = append(fieldErrors, FieldError{fmt.Sprintf("%s.api_keys[%d]", field, k), "is a key of another tenant too"})
			}
			keys[key] = i
		}
	}
	return fieldErrors
}

// Redacted returns the configuration without API keys, for readers who may see everything else.
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

// PublishedTenant is a tenant as it is published to proxies, with digests instead of API keys.
type PublishedTenant struct {
	Name string `json:"name"`
	TenantTerms
	Keys []KeyDigest `json:"keys"`
}

// newPublishedTenant returns the published form of a tenant.
func newPublishedTenant(t Tenant) PublishedTenant {
	published := PublishedTenant{Name: t.Name, TenantTerms: t.TenantTerms, Keys: make([]KeyDigest, 0, len(t.Keys))}
	for _, key := range t.Keys {
		published.Keys = append(published.Keys, DigestOf(key))
	}
	return published
}

func (t PublishedTenant) equal(other PublishedTenant) bool {
	return t.Name == other.Name && t.TenantTerms == other.TenantTerms && slices.Equal(t.Keys, other.Keys)
}

// tenantHistory holds the current tenants and the sequence number of each one's last change.
type tenantHistory struct {
	current    map[string]PublishedTenant
	changedSeq map[string]int64 // seq at which a tenant was last changed or removed, by name
}

// advance records the tenants as of a sequence number.
func (h *tenantHistory) advance(tenants []Tenant, seq int64) {
	if h.changedSeq == nil {
		h.changedSeq = map[string]int64{}
	}
	next := make(map[string]PublishedTenant, len(tenants))
	for _, t := range tenants {
		published := newPublishedTenant(t)
		next[t.Name] = published
		if old, known := h.current[t.Name]; !known || !old.equal(published) {
			h.changedSeq[t.Name] = seq
		}
	}
	for name := range h.current {
		if _, kept := next[name]; !kept {
			h.changedSeq[name] = seq
		}
	}
	h.current = next
}

// since returns the tenants that changed after seq, or all if full is set, and the names of those
// removed after seq.
func (h *tenantHistory) since(seq int64, full bool) (changed []PublishedTenant, removed []string) {
	for _, name := range slices.Sorted(maps.Keys(h.current)) {
		if full || h.changedSeq[name] > seq {
			changed = append(changed, h.current[name])
		}
	}
	if full {
		return changed, nil
	}
	for _, name := range slices.Sorted(maps.Keys(h.changedSeq)) {
		if _, exists := h.current[name]; !exists && h.changedSeq[name] > seq {
			removed = append(removed, name)
		}
	}
	return changed, removed
}

// tenantIndex holds the tenants, indexed for the lookups of proxies.
type tenantIndex struct {
	byName map[string]PublishedTenant
	byKey  map[KeyDigest]*PublishedTenant
}

// apply returns a new index with the delta applied; i is not modified.
func (i tenantIndex) apply(delta *Delta) tenantIndex {
	if !delta.Full && len(delta.Tenants) == 0 && len(delta.RemovedTenants) == 0 {
		return i
	}
	next := tenantIndex{byName: map[string]PublishedTenant{}, byKey: map[KeyDigest]*PublishedTenant{}}
	if !delta.Full {
		maps.Copy(next.byName, i.byName)
	}
	for _, t := range delta.Tenants {
		next.byName[t.Name] = t
	}
	for _, name := range delta.RemovedTenants {
		delete(next.byName, name)
	}
	for _, t := range next.byName {
		for _, key := range t.Keys {
			next.byKey[key] = &t
		}
	}
	return next
}

// HasTenants reports whether clients need an API key.
func (i *Index) HasTenants() bool { return i != nil && len(i.tenants.byName) > 0 }

// Tenant returns the tenant that a key belongs to, nil if there is none.
func (i *Index) Tenant(key KeyDigest) *PublishedTenant {
	if i == nil {
		return nil
	}
	return i.tenants.byKey[key]
}

// Tenants returns all tenants by name. The map must not be modified.
func (i *Index) Tenants() map[string]PublishedTenant {
	if i == nil {
		return nil
	}
	return i.tenants.byName
}
