package coltscodec

// The messages between entries and upstreams other than the OpenAI-style ones.
// They are JSON, so that an engine's side of the protocol can be written in any
// language; docs/UPSTREAMS.md is their page.

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

// Paths of the protocol. The first two are served by entries, the others by
// upstreams.
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

// Headers of the protocol.
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

// Prefixes of the comment lines that a runner puts into its streams.
const (
	CommentPrefill = ": colts-prefill "
	CommentUsage   = ": colts-usage "
)

type announcementText struct {
	ID            string         `json:"id"`
	Addr          netip.AddrPort `json:"address"`
	Kind          string         `json:"kind"`
	DataCentre    string         `json:"data-centre"`
	Service       string         `json:"service,omitempty"`
	Serving       []servingText  `json:"serving,omitempty"`
	ChecksFencing bool           `json:"checks-fencing,omitempty"`
	Incarnation   time.Time      `json:"incarnation"`
	Number        uint64         `json:"number"`
	Leaving       bool           `json:"leaving,omitempty"`
	Load          loadText       `json:"load"`
}

type servingText struct {
	Model   string `json:"model"`
	Version string `json:"version"`
}

type loadText struct {
	Running          int   `json:"running"`
	Waiting          int   `json:"waiting"`
	QueuedTokens     int64 `json:"queued-tokens"`
	PrefillPerSecond int64 `json:"prefill-per-second"`
}

// EncodeAnnouncement returns an announcement's JSON.
func EncodeAnnouncement(a coltsfleet.Announcement) ([]byte, error) {
	text := announcementText{
		ID:            string(a.ID),
		Addr:          a.Addr,
		Kind:          string(a.Kind),
		DataCentre:    string(a.DataCentre),
		Service:       string(a.Service),
		ChecksFencing: a.ChecksFencing,
		Incarnation:   a.Incarnation,
		Number:        a.Number,
		Leaving:       a.Leaving,
		Load:          loadText(a.Load),
	}
	text.Serving = convert(a.Serving, func(s coltsfleet.ModelVersion) servingText {
		return servingText{Model: string(s.Model), Version: string(s.Version)}
	})
	body, err := json.Marshal(text)
	return body, errors.Wrap(err, "encode announcement")
}

// DecodeAnnouncement reads an announcement's JSON.
func DecodeAnnouncement(body []byte) (coltsfleet.Announcement, error) {
	var text announcementText
	if err := json.Unmarshal(body, &text); err != nil {
		return coltsfleet.Announcement{}, errors.Wrap(err, "decode announcement")
	}
	return coltsfleet.Announcement{
		ID:         coltsidentity.Upstream(text.ID),
		Addr:       text.Addr,
		Kind:       coltsdocument.Kind(text.Kind),
		DataCentre: coltsidentity.DataCentre(text.DataCentre),
		Service:    coltsidentity.Service(text.Service),
		Serving: convert(text.Serving, func(s servingText) coltsfleet.ModelVersion {
			return coltsfleet.ModelVersion{
				Model:   coltsidentity.Model(s.Model),
				Version: coltsidentity.Version(s.Version),
			}
		}),
		ChecksFencing: text.ChecksFencing,
		Incarnation:   text.Incarnation,
		Number:        text.Number,
		Leaving:       text.Leaving,
		Load:          coltsfleet.Load(text.Load),
	}, nil
}

// CacheEvent says what an upstream holds since its last event.
type CacheEvent struct {
	Upstream coltsidentity.Upstream
	Added    []coltscache.Piece
	Removed  []coltscache.Piece
}

type cacheEventText struct {
	Upstream string   `json:"upstream"`
	Added    []string `json:"added,omitempty"`
	Removed  []string `json:"removed,omitempty"`
}

// EncodeCacheEvent returns a cache event's JSON.
func EncodeCacheEvent(e CacheEvent) ([]byte, error) {
	body, err := json.Marshal(cacheEventText{
		Upstream: string(e.Upstream),
		Added:    convert(e.Added, coltscache.Piece.String),
		Removed:  convert(e.Removed, coltscache.Piece.String),
	})
	return body, errors.Wrap(err, "encode cache event")
}

// DecodeCacheEvent reads a cache event's JSON.
func DecodeCacheEvent(body []byte) (CacheEvent, error) {
	var text cacheEventText
	if err := json.Unmarshal(body, &text); err != nil {
		return CacheEvent{}, errors.Wrap(err, "decode cache event")
	}
	added, err := parsePieces(text.Added)
	if err != nil {
		return CacheEvent{}, err
	}
	removed, err := parsePieces(text.Removed)
	if err != nil {
		return CacheEvent{}, err
	}
	return CacheEvent{Upstream: coltsidentity.Upstream(text.Upstream), Added: added, Removed: removed}, nil
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

// LookupRequest asks a store how many leading pieces it holds.
type LookupRequest struct {
	Pieces []string `json:"pieces"`
}

// LookupReply answers it.
type LookupReply struct {
	Held int `json:"held"`
}

// ExportRequest asks a runner to copy pieces to a store.
type ExportRequest struct {
	Store  netip.AddrPort `json:"store"`
	Pieces []string       `json:"pieces"`
}

// ExportReply says how many leading pieces of the list the store now holds.
type ExportReply struct {
	Exported int `json:"exported"`
}

// OrderRequest tells a runner to load or unload a version. A runner that checks
// fencing numbers refuses one lower than the highest that it has seen.
type OrderRequest struct {
	Kind    string `json:"kind"`
	Model   string `json:"model"`
	Version string `json:"version"`
	Fence   uint64 `json:"fence"`
}

// PieceNames returns the names of pieces as they stand in messages.
func PieceNames(pieces []coltscache.Piece) []string {
	return convert(pieces, coltscache.Piece.String)
}

// ParsePieceNames reads the form that PieceNames returns.
func ParsePieceNames(names []string) ([]coltscache.Piece, error) {
	return parsePieces(names)
}
