// Package coltsroute is the aggregate of the route table: which requests go to
// which service, who may send them, and how they may be repeated.
//
// The table is replaced whole. A register keeps the newest one, and an index
// answers the questions that every request asks of it.
package coltsroute

// A table is a value. It carries the text that it was decoded from, because the
// text is what is kept durably and read back; the fields are what decides.

import (
	"net/netip"
	"time"

	"coltsfootstall/coltsidentity"
)

// Version numbers tables; the highest one is in force.
type Version uint64

// Kind says what may be repeated.
type Kind int

// The kinds of route.
const (
	// KindUnsafe requests run at most once.
	KindUnsafe Kind = iota
	// KindSafe requests may run more than once.
	KindSafe
	// KindStreaming requests are answered by a series of events. They run at most
	// once unless the route is resumable.
	KindStreaming
)

// Table is one whole configuration of forwarding.
type Table struct {
	Version       Version
	Routes        []Route
	Services      []Service
	Limits        Limits
	Organisations []Organisation
	// RequiresKey says that requests need a key unless their route is public. A table
	// without a list of organisations needs none.
	RequiresKey bool
	// Source is the text that the table was decoded from.
	Source []byte
}

// Route leads requests to a service.
type Route struct {
	Name string
	// HostName is compared with the request's without regard to case.
	HostName string
	// Prefix is what the path of a request begins with, its slashes included.
	Prefix string
	Kind   Kind
	// Timeout is the longest time that a request is kept waiting for its answer.
	Timeout time.Duration
	// LatencyGoal is the time within which an answer, or a stream's first event, is on
	// time; GapGoal is the longest pause between events.
	LatencyGoal    time.Duration
	GapGoal time.Duration
	// Priority is the rank among requests, 0 before all others.
	Priority int
	Targets  []Target
	// MaxAttempts bounds the upstreams to which one request is sent.
	MaxAttempts int
	// Public routes need no key.
	Public bool
	// Sticky routes carry prompts whose parts upstreams keep.
	Sticky bool
	// Resumable streams may go on at another upstream.
	Resumable bool
}

// Idempotent says whether a request of the route may run more than once.
func (r Route) Idempotent() bool {
	return r.Kind == KindSafe || r.Kind == KindStreaming && r.Resumable
}

// Target is a service with its share of a route's requests.
type Target struct {
	Service coltsidentity.Service
	Weight  int
}

// Service is a set of like upstreams.
type Service struct {
	Name       coltsidentity.Service
	HealthPath string
	// MaxConnections is what one upstream accepts from all callers together.
	MaxConnections int
	// Engine is set for model runners, Store for kept-cache stores.
	Engine *Engine
	Store  *Store
}

// Engine describes the model runners of a service.
type Engine struct {
	// Slots is the number of requests that a runner processes at once.
	Slots int
	// CacheTokens is a runner's memory, for running requests and kept parts.
	CacheTokens int
	// BytesPerToken is the memory of one token.
	BytesPerToken int
	// LinkBitsPerSecond is the bandwidth of a runner's transfers.
	LinkBitsPerSecond float64
	// MaxEventReaders bounds the calls that wait for cache events at one runner.
	MaxEventReaders int
	Models       []coltsidentity.Model
}

// Store describes a store of kept cache.
type Store struct {
	Addr              netip.AddrPort
	DataCentre        coltsidentity.DataCentre
	CacheTokens       int
	LinkBitsPerSecond float64
	MaxEventReaders      int
	// Managed stores drop nothing by themselves.
	Managed bool
	// Latency is what each transfer waits besides its bytes.
	Latency time.Duration
}

// Limits bound what callers may send.
type Limits struct {
	MaxHeaderBytes int
	MaxBodyBytes   int
	// HeaderTimeout bounds the reading of a request's head, IdleTimeout the time
	// that a connection without a request is kept.
	HeaderTimeout time.Duration
	IdleTimeout   time.Duration
}

// Organisation is a customer with its keys.
type Organisation struct {
	Name coltsidentity.Organisation
	Keys []string
	// HasPriority says that Priority takes the place of the routes' own.
	HasPriority   bool
	Priority int
	// Isolated organisations share no kept cache with others.
	Isolated bool
}
