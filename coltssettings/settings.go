// Package coltssettings loads and validates an instance's settings and lists them
// with their types, units and defaults.
package coltssettings

// The tags of the structs below are the only definition of the settings: decoding,
// validation, the list on the command line and docs/SETTINGS.md are all derived from
// them. The tag min is the lowest allowed value.

import (
	"net/netip"
	"time"
)

// Settings holds the settings of one instance.
type Settings struct {
	Instance    string  `json:"instance" unit:"name" usage:"name of this instance, unique in the system"`
	DataCentre  string  `json:"data-centre" unit:"name" usage:"data centre in which this instance runs"`
	LogLevel    string  `json:"log-level" unit:"level" usage:"least level that is logged: debug, info, warning or error"`
	LogJSON     bool    `json:"log-json" unit:"" usage:"log JSON objects rather than text"`
	MemoryMB    float64 `json:"memory-megabytes" unit:"megabytes" min:"0" usage:"memory of the machine that the process may use, from which its memory for buffers follows; 0 for not given"`
	Descriptors int     `json:"descriptors" unit:"descriptors" min:"0" usage:"descriptors that the process may have open; 0 for the process's own limit"`
	Entry       Entry   `json:"entry" usage:"settings of an entry instance"`
	Gateway     Gateway `json:"gateway" usage:"settings of a gateway instance"`
	Control     Control `json:"control" usage:"settings of a control instance"`
}

// bytesPerMegabyte is the smaller of the two usual sizes, so that no machine is taken for a larger one.
const bytesPerMegabyte = 1_000_000

// MemoryBytes returns the memory of the machine in bytes; 0 if it is not given.
func (s Settings) MemoryBytes() int { return int(s.MemoryMB * bytesPerMegabyte) }

// Entry holds the settings of an entry instance.
type Entry struct {
	CallerAddr   netip.AddrPort   `json:"caller-address" unit:"address" usage:"where callers are served"`
	UpstreamAddr netip.AddrPort   `json:"upstream-address" unit:"address" usage:"where upstreams announce themselves"`
	PeerAddr     netip.AddrPort   `json:"peer-address" unit:"address" usage:"where other instances reach this one"`
	OperatorAddr netip.AddrPort   `json:"operator-address" unit:"address" usage:"where operators find health, readiness and metrics"`
	ControlAddrs []netip.AddrPort `json:"control-addresses" unit:"addresses" usage:"control instances, in the order of preference"`

	RoutingPolicy string `json:"routing-policy" unit:"policy" usage:"how an upstream is chosen: expected-first-token, least-outstanding or round-robin"`
	KeepCache     bool   `json:"keep-cache" unit:"" usage:"export prompts' cache to stores and restore it; false recomputes always"`

	MaxInFlight    int           `json:"max-under-way" unit:"requests" min:"1" usage:"requests served at once; more are refused as not run"`
	MaxQueueWait   time.Duration `json:"max-queue" unit:"duration" min:"0s" usage:"longest expected wait for a turn; requests that would wait longer are refused as not run; 0s for no bound"`
	MaxAttempts    int           `json:"max-attempts" unit:"attempts" min:"1" usage:"attempts at one request, the first one counted"`
	MaxBodyBytes   int           `json:"max-body-bytes" unit:"bytes" min:"1024" usage:"longest body that callers may send"`
	RequestTimeout time.Duration `json:"request-timeout" unit:"duration" min:"1ms" usage:"time after which a request is given up"`
	SilenceTimeout time.Duration `json:"silence-timeout" unit:"duration" min:"10ms" usage:"time without a byte after which an upstream's connection counts as silent"`
	ProbeTimeout   time.Duration `json:"probe-timeout" unit:"duration" min:"1ms" usage:"time in which an idle connection must answer a probe before it is used again"`
	DrainNotice    time.Duration `json:"drain-notice" unit:"duration" min:"0s" usage:"time between failing readiness and refusing new connections at a shutdown"`
	DrainTimeout   time.Duration `json:"drain-timeout" unit:"duration" min:"0s" usage:"time that running requests get to end at a shutdown"`

	BodyBytes int `json:"body-bytes" unit:"bytes" min:"1048576" usage:"memory that the bodies of requests of more than 64 KB may take together while they are received and served; requests beyond it are refused as not run"`
	MaxConns  int `json:"max-connections" unit:"connections" min:"16" usage:"connections from callers that are open at once, and likewise from upstreams; the one that has waited longest is closed for a further one"`
}

// Control holds the settings of a control instance.
type Control struct {
	Addr            netip.AddrPort   `json:"address" unit:"address" usage:"where entries, operators and other control instances reach this one"`
	OperatorAddr    netip.AddrPort   `json:"operator-address" unit:"address" usage:"where operators find health, readiness and metrics"`
	DataFolder      string           `json:"data-folder" unit:"path" usage:"folder that holds the durable state"`
	InitialDocument string           `json:"initial-document" unit:"path" usage:"document to begin with when the state is empty; empty for none"`
	SegmentBytes    int              `json:"segment-bytes" unit:"bytes" min:"4096" usage:"size at which a new segment of the journal is begun"`
	SnapshotEvery   int              `json:"snapshot-every" unit:"commands" min:"1" usage:"least number of commands between two snapshots of the state; there are more between them once the state is larger than the commands since"`
	JournalBytes    int              `json:"journal-bytes" unit:"bytes" min:"65536" usage:"total size of commands after which a snapshot is taken however few they are, unless the state is larger; also the most that is kept in memory of commands that a snapshot covers"`
	MaxLoading      int              `json:"max-loading" unit:"runners" min:"1" usage:"runners that are told to load weights at once"`
	ServiceAddr     netip.AddrPort   `json:"service-address" unit:"address" usage:"where operators put route tables and upstreams report themselves; empty for nowhere"`
	Seeds           []netip.AddrPort `json:"seeds" unit:"addresses" usage:"hosts of instances through which a group that forms itself is found; their port is that of control/address; empty for a group that replicas lists"`
	FoundsGroup     bool             `json:"founds" unit:"" usage:"an instance that is a seed and has an empty folder founds the group together with the other seeds"`
	ToleratedLosses int              `json:"tolerated-losses" unit:"instances" min:"0" usage:"instances whose loss at the same time a group that forms itself must bear"`
	AwaitCommit     bool             `json:"await-commit" unit:"" usage:"an instance that has just started answers gateways only once it has applied what was committed before; otherwise it does so only if it knows of an order of evacuation"`
	LoadOrderDelay  time.Duration    `json:"order-wait" unit:"duration" min:"0s" usage:"time for which a new leader gives runners no orders to load weights, so that two holders of that right don't take turns"`
	SilentAfter     time.Duration    `json:"silent-after" unit:"duration" min:"100ms" usage:"time without a report after which an upstream counts as silent"`
	ColdExcess      float64          `json:"cold-excess" unit:"factor" min:"0" usage:"factor on the requests a second that the route table allows to an upstream that is cold, for all gateways together"`
	ColdSlack       float64          `json:"cold-slack" unit:"requests" min:"0" usage:"requests in a second that are allowed to such an upstream besides"`
	Replicas        []Replica        `json:"replicas" unit:"instances" usage:"every control instance of the group: instance, address, and joins for one that is added to a running group; empty for a group of one"`

	BodyBytes int `json:"body-bytes" unit:"bytes" min:"1048576" usage:"memory that the bodies of requests of more than 64 KB may take together while they are received and served; requests beyond it are refused as not applied"`
	MaxConns  int `json:"max-connections" unit:"connections" min:"16" usage:"connections to control/service-address that are open at once; the one that has waited longest is closed for a further one"`
}

// Replica describes a control instance of the group to the other ones.
type Replica struct {
	Instance string         `json:"instance"`
	Addr     netip.AddrPort `json:"address"`
	// Joins is set if the instance is not part of the group's initial
	// configuration, but is added to the running group by an operator.
	Joins bool `json:"joins"`
}

// Gateway holds the settings of a gateway instance.
type Gateway struct {
	CallerAddr   netip.AddrPort   `json:"caller-address" unit:"address" usage:"where callers are served"`
	ReadyAddr    netip.AddrPort   `json:"ready-address" unit:"address" usage:"where a balancer asks for readiness"`
	OperatorAddr netip.AddrPort   `json:"operator-address" unit:"address" usage:"where operators find health, readiness and metrics"`
	Seeds        []netip.AddrPort `json:"seeds" unit:"addresses" usage:"hosts of control instances through which the others are found"`
	ControlPort  int              `json:"control-port" unit:"port" min:"1" usage:"port of the control instances for other instances"`

	RoutingPolicy string `json:"routing-policy" unit:"policy" usage:"how an upstream is chosen: least-loaded, or round-robin to compare with"`
	LoadEstimate  string `json:"load-estimate" unit:"estimate" usage:"how the load that other instances have at application servers is estimated: newest, as last reported, or averaged, over about a second, with the upstream drawn at random by it"`
	LoadReport    string `json:"load-report" unit:"report" usage:"load that the other gateways learn: held, or prefill to count prompts that are not prefilled yet more than once; the same for all gateways"`
	KeepCache     bool   `json:"keep-cache" unit:"" usage:"save parts of prompts in stores and fetch them; false reads them always"`

	BufferBytes int `json:"buffer-bytes" unit:"bytes" min:"1048576" usage:"memory that the bodies of long requests and responses may take together while they are buffered"`

	RetryRatio          float64       `json:"retry-ratio" unit:"share" min:"0" usage:"attempts after the first one, as a share of a service's requests, that all gateways together may make"`
	RetrySlack          float64       `json:"retry-slack" unit:"attempts" min:"0" usage:"attempts after the first one that are allowed besides that share, in all gateways together"`
	WeightsGracePeriod  time.Duration `json:"weights-due" unit:"duration" min:"0s" usage:"time after the naming of a weight version from which requests are sent only to runners that have it; 0s for never"`
	RetryWindow         time.Duration `json:"retry-window" unit:"duration" min:"0s" usage:"span over which both are counted"`
	ShutdownGracePeriod time.Duration `json:"grace" unit:"duration" min:"0s" usage:"time between the request to stop and the end of the process"`
}

// Default returns the default settings, which apply unless a settings file changes
// them.
func Default() Settings {
	return Settings{
		Instance:   "instance-1",
		DataCentre: "data-centre-1",
		LogLevel:   "info",
		Entry: Entry{
			CallerAddr:     netip.MustParseAddrPort("127.0.0.1:8080"),
			UpstreamAddr:   netip.MustParseAddrPort("127.0.0.1:8081"),
			PeerAddr:       netip.MustParseAddrPort("127.0.0.1:8082"),
			OperatorAddr:   netip.MustParseAddrPort("127.0.0.1:8083"),
			ControlAddrs:   []netip.AddrPort{netip.MustParseAddrPort("127.0.0.1:8090")},
			RoutingPolicy:  "expected-first-token",
			KeepCache:      true,
			MaxInFlight:    4096,
			MaxQueueWait:   2 * time.Second,
			MaxAttempts:    3,
			MaxBodyBytes:   16 << 20,
			RequestTimeout: 5 * time.Minute,
			SilenceTimeout: 3 * time.Second,
			ProbeTimeout:   250 * time.Millisecond,
			DrainNotice:    time.Second,
			DrainTimeout:   10 * time.Minute,
			BodyBytes:      256 << 20,
			MaxConns:       2048,
		},
		Gateway: Gateway{
			CallerAddr:   netip.MustParseAddrPort("127.0.0.1:8100"),
			ReadyAddr:    netip.MustParseAddrPort("127.0.0.1:8101"),
			OperatorAddr: netip.MustParseAddrPort("127.0.0.1:8102"),
			Seeds:        []netip.AddrPort{netip.MustParseAddrPort("127.0.0.1:8090")},
			ControlPort:  8090,

			RoutingPolicy: "least-loaded",
			LoadEstimate:  "newest",
			LoadReport:    "held",
			KeepCache:     true,
			BufferBytes:   32 << 20,

			RetryRatio:          0.2,
			RetrySlack:          50,
			RetryWindow:         10 * time.Second,
			ShutdownGracePeriod: 8 * time.Second,
		},
		Control: Control{
			Addr:           netip.MustParseAddrPort("127.0.0.1:8090"),
			OperatorAddr:   netip.MustParseAddrPort("127.0.0.1:8091"),
			DataFolder:     "data",
			SegmentBytes:   64 << 20,
			SnapshotEvery:  10_000,
			JournalBytes:   16 << 20,
			MaxLoading:     3,
			LoadOrderDelay: 3 * time.Second,
			SilentAfter:    5 * time.Second,
			ColdExcess:     1,
			BodyBytes:      48 << 20,
			MaxConns:       3300,
			AwaitCommit:    true,
		},
	}
}
