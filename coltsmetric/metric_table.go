// Package coltsmetric defines the metrics of an instance and stores their values.
package coltsmetric

// All metrics are defined in one table with their units, so that the command line can list
// them and no metric can exist that isn't listed.

import (
	"expvar"
	"strings"
)

// Metric is the definition of a metric.
type Metric struct {
	Name string
	Unit string
	// Description describes what the metric counts.
	Description string
}

// The metrics.
var (
	Requests               = Metric{"requests", "requests", "prompts and calls that came in"}
	Refused                = Metric{"requests-refused", "requests", "requests refused, by any reason"}
	RequestsUnderWay       = Metric{"requests-under-way", "requests", "requests that are being served now"}
	CallerDisconnects      = Metric{"callers-left", "requests", "callers that hung up before their answer ended"}
	Attempts               = Metric{"attempts", "attempts", "attempts sent to upstreams"}
	Retries                = Metric{"retries", "attempts", "attempts after the first one"}
	Resumes                = Metric{"resumes", "attempts", "streams resumed on another upstream"}
	WrongRequestIDs        = Metric{"answers-crossed", "answers", "answers dropped because they carried another request's identity"}
	UnreadableAnswers      = Metric{"answers-unreadable", "answers", "answers dropped because they were not HTTP/1.1; the log says what was wrong"}
	InterruptedAnswers     = Metric{"answers-interrupted", "answers", "answers whose connection ended before they did"}
	SilentConnections      = Metric{"connections-silent", "connections", "connections found silent and replaced"}
	StreamedParts          = Metric{"tokens", "tokens", "streamed parts passed on to callers"}
	TokensComputed         = Metric{"tokens-computed", "tokens", "prompt tokens that upstreams computed"}
	TokensReused           = Metric{"tokens-reused", "tokens", "prompt tokens that upstreams took from kept cache"}
	FirstTokenMicros       = Metric{"first-token-micros", "microseconds", "sum of the times to first token"}
	FirstTokens            = Metric{"first-tokens", "requests", "requests that got a first token"}
	Lookups                = Metric{"lookups", "questions", "questions to kept-cache stores"}
	Exports                = Metric{"exports", "orders", "orders to copy pieces to a store"}
	ExportsFailed          = Metric{"exports-failed", "orders", "of those, orders that failed"}
	Announcements          = Metric{"announcements", "announcements", "announcements taken in that were news"}
	UntrustedAnnouncements = Metric{"announcements-untrusted", "announcements", "announcements that no rule trusts"}
	Upstreams              = Metric{"upstreams", "upstreams", "live upstreams that this entry knows"}
	CacheEvents            = Metric{"cache-events", "events", "cache events taken in"}
	Grants                 = Metric{"grants", "calls", "calls granted by the ledger"}
	Replays                = Metric{"replays", "calls", "calls answered from the ledger"}
	SettleRetries          = Metric{"settle-retries", "calls", "settlements that had to be sent again"}
	Revision               = Metric{"document-revision", "revision", "revision of the document in force"}
	LastContactMillis      = Metric{"document-heard-unix-milli", "milliseconds", "when control last confirmed the document, since the Unix epoch"}
	UsageBatches           = Metric{"usage-batches", "batches", "batches of use that control has taken in"}
	RoutesVersion          = Metric{"routes-version", "version", "version of the route table in force"}
	WatchFailures          = Metric{"watch-failures", "questions", "questions to control that were not answered"}
	RefusedNotRun          = Metric{"refused-not-run", "requests", "requests refused and known not to have run"}
	FailedUnknown          = Metric{"failed-unknown", "requests", "requests that failed and may have run"}
	StreamsBroken          = Metric{"streams-broken", "streams", "streams that ended before their last event"}
	RequestsAtHome         = Metric{"requests-at-home", "requests", "requests sent to the runner that their shared parts lead to"}
	ChoicesCompared        = Metric{"choices-compared", "choices", "choices of upstreams whose load was compared with the mean of their service at the next load report"}
	ChoicesOverloaded      = Metric{"choices-overloaded", "choices", "of those, choices whose upstream turned out to have more than twice the mean"}
	Panics                 = Metric{"unexpected-errors", "errors", "requests and loops ended by a panic; the log has the stacks"}
	BuffersExhausted       = Metric{"buffers-exhausted", "messages", "messages given up because the memory for buffers was used up"}
	BodiesRefused          = Metric{"bodies-refused", "requests", "requests refused because their body was too long, too slow or broken, or found no room"}
	ConnectionsShed        = Metric{"connections-shed", "connections", "connections ended because memory or descriptors were short, or too many were open"}
	PartsBlocked           = Metric{"parts-blocked", "parts", "parts of prompts that crash upstreams; prompts with them are refused"}
	UpstreamsLeft          = Metric{"upstreams-left", "upstreams", "processes of upstreams that said in a response that they are leaving"}
	Pauses                 = Metric{"pauses", "pauses", "pauses that upstreams asked for"}
	EvacuatedDataCentres   = Metric{"evacuated-data-centres", "data-centres", "data centres to whose upstreams nothing new is sent, by order of an operator"}
	ColdUpstreams          = Metric{"cold-upstreams", "upstreams", "upstreams that are cold and get only requests with a permit"}
	ColdPermits            = Metric{"cold-permits", "requests", "requests to cold upstreams that the leader has permitted, or that this gateway was permitted"}
	ColdWaits              = Metric{"cold-waits", "choices", "choices that passed over a cold upstream for lack of a permit"}
	LogLinesDropped        = Metric{"log-lines-dropped", "lines", "log lines dropped because their reader was too slow"}
	Commands               = Metric{"commands", "commands", "commands applied"}
	JournalSyncs           = Metric{"journal-syncs", "syncs", "syncs of the journal"}
	Snapshots              = Metric{"snapshots", "snapshots", "snapshots written"}
	DiskFailures           = Metric{"disk-failures", "failures", "times that the disk began to refuse writes"}
	DiskRefuses            = Metric{"disk-refuses", "0 or 1", "1 while the disk refuses writes and the instance takes no part in the group"}
)

// allMetrics holds all metrics in the order in which they are listed.
var allMetrics = []Metric{
	Requests, Refused, RequestsUnderWay, CallerDisconnects, Attempts, Retries, Resumes, WrongRequestIDs,
	UnreadableAnswers, InterruptedAnswers, SilentConnections,
	StreamedParts, TokensComputed, TokensReused, FirstTokenMicros, FirstTokens, Lookups, Exports, ExportsFailed,
	Announcements, UntrustedAnnouncements, Upstreams, CacheEvents, Grants, Replays, SettleRetries, Revision, LastContactMillis,
	RoutesVersion, WatchFailures, RefusedNotRun, FailedUnknown, StreamsBroken, RequestsAtHome, ChoicesCompared, ChoicesOverloaded, Panics, BuffersExhausted, BodiesRefused, ConnectionsShed, PartsBlocked, UpstreamsLeft, Pauses,
	EvacuatedDataCentres, ColdUpstreams, ColdPermits, ColdWaits, LogLinesDropped,
	UsageBatches, Commands, JournalSyncs, Snapshots, DiskFailures, DiskRefuses,
}

// Table returns all metrics in the order in which they are listed.
func Table() []Metric {
	return append([]Metric(nil), allMetrics...)
}

// Set holds the values of an instance's metrics. It is safe for concurrent use.
type Set struct {
	values map[string]*expvar.Int
}

// NewSet returns a set in which every metric is zero.
func NewSet() *Set {
	s := &Set{values: make(map[string]*expvar.Int, len(allMetrics))}
	for _, m := range allMetrics {
		s.values[m.Name] = new(expvar.Int)
	}
	return s
}

// Add adds n to a metric.
func (s *Set) Add(m Metric, n int64) {
	s.values[m.Name].Add(n)
}

// Put sets a metric to n.
func (s *Set) Put(m Metric, n int64) {
	s.values[m.Name].Set(n)
}

// Get returns a metric's value.
func (s *Set) Get(m Metric) int64 {
	return s.values[m.Name].Value()
}

// JSON returns the metrics and the variables that the process has published with expvar as
// one JSON object.
func (s *Set) JSON() string {
	var b strings.Builder
	b.WriteString("{\n")
	for _, m := range allMetrics {
		b.WriteString(`"` + m.Name + `": ` + s.values[m.Name].String() + ",\n")
	}
	first := true
	expvar.Do(func(kv expvar.KeyValue) {
		if !first {
			b.WriteString(",\n")
		}
		first = false
		b.WriteString(`"` + kv.Key + `": ` + kv.Value.String())
	})
	b.WriteString("\n}\n")
	return b.String()
}
