// Package coltsroute is the aggregate of the route table: which requests go to
// which service, who may send them, and whether they may be retried.
//
// A table is always replaced as a whole. A Register holds the newest table, and an
// Index provides the look-ups that every request needs.
package coltsroute

// A table is a value. It carries the text that it was decoded from, because that text
// is what is written to durable storage and read back. Decisions use only the other fields.

import (
	"net/netip"
	"time"

	"coltsfootstall/coltsidentity"
)

// Version is the version number of a table; the table with the highest one is current.
type Version uint64

// Kind determines whether a request of a route may be sent again once it may have run.
type Kind int

// The kinds of route.
const (
	// KindUnsafe requests run at most once.
	KindUnsafe Kind = iota
	// KindSafe requests may run more than once.
	KindSafe
	// KindStreaming requests are answered with a stream of events. They run at most
	// once unless the route is resumable.
	KindStreaming
)

// Table is a complete routing configuration.
type Table struct {
	Version       Version
	Routes        []Route
	Services      []Service
	Limits        Limits
	Organisations []Organisation
	// RequiresKey is set if requests need an API key unless their route is public. It is
	// false for a table without a list of organisations.
	RequiresKey bool
	// CacheGeneration is that of the common cache scope. It is not part of the text.
	CacheGeneration CacheGeneration
	// Unconfirmed is set if the table is from a control instance that may know less than what was
	// acknowledged before its start. It is not part of the text.
	Unconfirmed bool
	// Source is the text that the table was decoded from.
	Source []byte
}

// Route matches requests and names the services that they are sent to.
type Route struct {
	Name string
	// HostName is compared with the host name of a request, ignoring case.
	HostName string
	// Prefix is the prefix of matching paths. It begins and ends with a slash.
	Prefix string
	Kind   Kind
	// Timeout is the longest time that a request waits for its response.
	Timeout time.Duration
	// LatencyGoal is the latency objective for the response, or for the first event of a
	// stream.
	LatencyGoal time.Duration
	// GapGoal is the objective for the longest pause between two events of a stream.
	GapGoal time.Duration
	// Priority orders requests; 0 is the highest priority.
	Priority int
	// Targets share the requests of the route by weight.
	Targets []Target
	// MaxAttempts is the largest number of upstreams to which one request is sent.
	MaxAttempts int
	// Public is set if requests need no API key.
	Public bool
	// Sticky is set if requests carry prompts whose parts upstreams keep in their KV cache.
	Sticky bool
	// Resumable is set if a stream may continue at another upstream.
	Resumable bool
}

// Idempotent reports whether a request of the route may run more than once.
func (r Route) Idempotent() bool {
	return r.Kind == KindSafe || r.Kind == KindStreaming && r.Resumable
}

// Target is a service that receives a share of a route's requests.
type Target struct {
	Service coltsidentity.Service
	// Weight is the share in proportion to the sum of the route's weights.
	Weight int
}

// ColdDurations returns how long the processes of each service are cold after their start. Services
// that don't limit requests to cold processes are missing.
func (t Table) ColdDurations() map[coltsidentity.Service]time.Duration {
	durations := map[coltsidentity.Service]time.Duration{}
	for _, s := range t.Services {
		if s.LimitsCold() {
			durations[s.Name] = s.ColdDuration
		}
	}
	return durations
}

// Service is a set of interchangeable upstreams.
type Service struct {
	Name       coltsidentity.Service
	HealthPath string
	// MaxConnections is the number of connections that one upstream accepts in total.
	MaxConnections int
	// ColdDuration is how long a process is cold after its start, and ColdRate the number of
	// requests a second that it tolerates while it is. Nothing is limited unless both are positive.
	ColdDuration time.Duration
	ColdRate     float64
	// Engine is nil unless the upstreams are model runners.
	Engine *Engine
	// Store is nil unless the service is a KV cache store.
	Store *Store
}

// LimitsCold reports whether requests to cold processes are limited.
func (s Service) LimitsCold() bool { return s.ColdDuration > 0 && s.ColdRate > 0 }

// Engine describes the model runners of a service.
type Engine struct {
	// Slots is the number of requests that a runner processes concurrently.
	Slots int
	// CacheTokens is the size in tokens of a runner's KV cache, which running requests
	// and cached parts of prompts share.
	CacheTokens int
	// BytesPerToken is the size in bytes of one token in the KV cache.
	BytesPerToken int
	// LinkBitsPerSecond is the network bandwidth of a runner.
	LinkBitsPerSecond float64
	// MaxEventReaders is the largest number of concurrent calls that wait for cache events
	// at one runner.
	MaxEventReaders int
	Models          []coltsidentity.Model
}

// Store describes a KV cache store, which keeps parts of prompts outside the runners.
type Store struct {
	Addr       netip.AddrPort
	DataCentre coltsidentity.DataCentre
	// CacheTokens is the capacity in tokens.
	CacheTokens       int
	LinkBitsPerSecond float64
	// MaxEventReaders is the largest number of concurrent calls that wait for cache events.
	MaxEventReaders int
	// Managed is set if the store evicts nothing on its own.
	Managed bool
	// Latency is the fixed delay of each transfer, on top of the time for its bytes.
	Latency time.Duration
}

// Limits bound what callers may send and how long they may take.
type Limits struct {
	MaxHeaderBytes int
	MaxBodyBytes   int
	// HeaderTimeout is the longest time that reading the header of a request may take.
	HeaderTimeout time.Duration
	// IdleTimeout is how long a connection without a request is kept open.
	IdleTimeout time.Duration
}

// Organisation is a customer with its API keys.
type Organisation struct {
	Name coltsidentity.Organisation
	Keys []string
	// HasPriority is set if Priority overrides the priority of the routes.
	HasPriority bool
	// Priority is used only if HasPriority is set.
	Priority int
	// Isolated is set if the organisation shares no KV cache with others.
	Isolated bool
}
