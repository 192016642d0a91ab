package coltscodec

// This file has the messages between entries and upstreams, except the OpenAI-style
// ones. They are JSON, so that an inference engine's side of the protocol can be
// written in any language. The protocol is described in docs/UPSTREAMS.md.

import (
	"encoding/json"
	"net/netip"
	"time"

	"github.com/pkg/errors"

	"coltsfootstall/coltscache"
	"coltsfootstall/coltsdocument"
	"coltsfootstall/coltsfleet"
	"coltsfootstall/coltsidentity"
)

// HTTP paths of the protocol. PathAnnounce and PathEvents are served by entries, the
// others by upstreams.
const (
	PathAnnounce = "/colts/v1/announce"
	PathEvents   = "/colts/v1/events"
	PathHealth   = "/colts/v1/health"
	PathCancel   = "/colts/v1/cancel"
	PathLookup   = "/colts/v1/lookup"
	PathExport   = "/colts/v1/export"
	PathPieces   = "/colts/v1/pieces/"
	PathOrder    = "/colts/v1/order"
)

// HTTP headers of the protocol.
const (
	HeaderRequest  = "Colts-Request"
	HeaderAttempt  = "Colts-Attempt"
	HeaderPieces   = "Colts-Pieces"
	HeaderVersion  = "Colts-Version"
	HeaderRestore  = "Colts-Restore"
	HeaderResumeAt = "Colts-Resume-At"
	HeaderQueued   = "Colts-Queued"
	HeaderOutcome  = "Colts-Outcome"
	HeaderCrossed  = "Colts-Crossed"
	HeaderUpstream = "Colts-Upstream"
	HeaderReplayed = "Colts-Replayed"
	HeaderDigest   = "Colts-Digest"
)

// Prefixes of the comment lines that a runner writes into its event streams.
const (
	CommentPrefill = ": colts-prefill "
	CommentUsage   = ": colts-usage "
)

type announcementJSON struct {
	ID            string         `json:"id"`
	Addr          netip.AddrPort `json:"address"`
	Kind          string         `json:"kind"`
	DataCentre    string         `json:"data-centre"`
	Service       string         `json:"service,omitempty"`
	Serving       []servingJSON  `json:"serving,omitempty"`
	ChecksFencing bool           `json:"checks-fencing,omitempty"`
	Incarnation   time.Time      `json:"incarnation"`
	Number        uint64         `json:"number"`
	Leaving       bool           `json:"leaving,omitempty"`
	Load          loadJSON       `json:"load"`
}

type servingJSON struct {
	Model   string `json:"model"`
	Version string `json:"version"`
}

type loadJSON struct {
	Running          int   `json:"running"`
	Waiting          int   `json:"waiting"`
	QueuedTokens     int64 `json:"queued-tokens"`
	PrefillPerSecond int64 `json:"prefill-per-second"`
}

// EncodeAnnouncement returns the JSON form of an announcement.
func EncodeAnnouncement(a coltsfleet.Announcement) ([]byte, error) {
	message := announcementJSON{
		ID:            string(a.ID),
		Addr:          a.Addr,
		Kind:          string(a.Kind),
		DataCentre:    string(a.DataCentre),
		Service:       string(a.Service),
		ChecksFencing: a.ChecksFencing,
		Incarnation:   a.Incarnation,
		Number:        a.Number,
		Leaving:       a.Leaving,
		Load:          loadJSON(a.Load),
	}
	message.Serving = convert(a.Serving, func(s coltsfleet.ModelVersion) servingJSON {
		return servingJSON{Model: string(s.Model), Version: string(s.Version)}
	})
	body, err := json.Marshal(message)
	return body, errors.Wrap(err, "encode announcement")
}

// DecodeAnnouncement returns the announcement given as JSON.
func DecodeAnnouncement(body []byte) (coltsfleet.Announcement, error) {
	var message announcementJSON
	if err := json.Unmarshal(body, &message); err != nil {
		return coltsfleet.Announcement{}, errors.Wrap(err, "decode announcement")
	}
	return coltsfleet.Announcement{
		ID:         coltsidentity.Upstream(message.ID),
		Addr:       message.Addr,
		Kind:       coltsdocument.Kind(message.Kind),
		DataCentre: coltsidentity.DataCentre(message.DataCentre),
		Service:    coltsidentity.Service(message.Service),
		Serving: convert(message.Serving, func(s servingJSON) coltsfleet.ModelVersion {
			return coltsfleet.ModelVersion{
				Model:   coltsidentity.Model(s.Model),
				Version: coltsidentity.Version(s.Version),
			}
		}),
		ChecksFencing: message.ChecksFencing,
		Incarnation:   message.Incarnation,
		Number:        message.Number,
		Leaving:       message.Leaving,
		Load:          coltsfleet.Load(message.Load),
	}, nil
}

// CacheEvent lists the pieces that an upstream has added to and removed from its cache
// since its last event.
type CacheEvent struct {
	Upstream coltsidentity.Upstream
	Added    []coltscache.Piece
	Removed  []coltscache.Piece
}

type cacheEventJSON struct {
	Upstream string   `json:"upstream"`
	Added    []string `json:"added,omitempty"`
	Removed  []string `json:"removed,omitempty"`
}

// EncodeCacheEvent returns the JSON form of a cache event.
func EncodeCacheEvent(e CacheEvent) ([]byte, error) {
	body, err := json.Marshal(cacheEventJSON{
		Upstream: string(e.Upstream),
		Added:    convert(e.Added, coltscache.Piece.String),
		Removed:  convert(e.Removed, coltscache.Piece.String),
	})
	return body, errors.Wrap(err, "encode cache event")
}

// DecodeCacheEvent returns the cache event given as JSON.
func DecodeCacheEvent(body []byte) (CacheEvent, error) {
	var message cacheEventJSON
	if err := json.Unmarshal(body, &message); err != nil {
		return CacheEvent{}, errors.Wrap(err, "decode cache event")
	}
	added, err := parsePieces(message.Added)
	if err != nil {
		return CacheEvent{}, err
	}
	removed, err := parsePieces(message.Removed)
	if err != nil {
		return CacheEvent{}, err
	}
	return CacheEvent{Upstream: coltsidentity.Upstream(message.Upstream), Added: added, Removed: removed}, nil
}

func parsePieces(names []string) ([]coltscache.Piece, error) {
	pieces := make([]coltscache.Piece, 0, len(names))
	for _, name := range names {
		p, ok := coltscache.ParsePiece(name)
		if !ok {
			return nil, errors.Errorf("%q is not the name of a piece", name)
		}
		pieces = append(pieces, p)
	}
	return pieces, nil
}

// LookupRequest asks a cache store how many leading pieces of the list it holds.
type LookupRequest struct {
	Pieces []string `json:"pieces"`
}

// LookupReply answers a LookupRequest. HeldPieces is the number of leading pieces of
// the list that the cache store holds.
type LookupReply struct {
	HeldPieces int `json:"held"`
}

// ExportRequest asks a runner to copy pieces to a cache store.
type ExportRequest struct {
	Store  netip.AddrPort `json:"store"`
	Pieces []string       `json:"pieces"`
}

// ExportReply answers an ExportRequest. HeldPieces is the number of leading pieces of
// the list that the cache store now holds.
type ExportReply struct {
	HeldPieces int `json:"exported"`
}

// OrderRequest tells a runner to load or unload a model version. A runner that checks
// FencingToken refuses an order whose token is lower than the highest one it has seen.
type OrderRequest struct {
	Kind         string `json:"kind"`
	Model        string `json:"model"`
	Version      string `json:"version"`
	FencingToken uint64 `json:"fence"`
}

// PieceNames returns the string form of the pieces' names, as used in messages.
func PieceNames(pieces []coltscache.Piece) []string {
	return convert(pieces, coltscache.Piece.String)
}

// ParsePieceNames is the inverse of PieceNames. It fails if any name is invalid.
func ParsePieceNames(names []string) ([]coltscache.Piece, error) {
	return parsePieces(names)
}
