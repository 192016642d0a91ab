// Package coltscodec encodes and decodes the system's external messages: the
// operators' document, callers' requests with their answers, and the messages
// exchanged with upstreams. It makes no decisions.
package coltscodec

// The kebab-case names used in the document are defined only in this file; the
// aggregate's types don't depend on them. Each section has a struct for its JSON
// form and a function that converts it to the aggregate's type.

import (
	"bytes"
	"net/netip"
	"time"

	"github.com/tailscale/hujson"

	"coltsfootstall/coltsdocument"
	"coltsfootstall/coltsidentity"
	"coltsfootstall/coltsjsonc"
)

type organisationJSON struct {
	ID              string                 `json:"id"`
	KeyDigests      []coltsidentity.Digest `json:"key-digests"`
	Models          []modelGrantJSON       `json:"models"`
	Services        []string               `json:"services"`
	Weight          int                    `json:"weight"`
	Concurrent      int                    `json:"concurrent"`
	TokensPerSecond int64                  `json:"tokens-per-second"`
}

type modelGrantJSON struct {
	Model   string `json:"model"`
	Version string `json:"version"`
}

type modelJSON struct {
	ID       string   `json:"id"`
	Current  string   `json:"current"`
	Versions []string `json:"versions"`
}

type pricingJSON struct {
	Models   []modelPriceJSON   `json:"models"`
	Services []servicePriceJSON `json:"services"`
}

type modelPriceJSON struct {
	Model     string `json:"model"`
	Computed  int64  `json:"computed-micros"`
	Reused    int64  `json:"reused-micros"`
	Generated int64  `json:"generated-micros"`
}

type servicePriceJSON struct {
	Service string `json:"service"`
	Micros  int64  `json:"micros"`
}

type upstreamsJSON struct {
	Trusted  []trustRuleJSON `json:"trusted"`
	Draining []string        `json:"draining"`
}

type trustRuleJSON struct {
	Network       netip.Prefix `json:"network"`
	Kind          string       `json:"kind"`
	DataCentre    string       `json:"data-centre"`
	ChecksFencing bool         `json:"checks-fencing"`
}

type objectiveJSON struct {
	Name       string        `json:"name"`
	Model      string        `json:"model"`
	FirstToken time.Duration `json:"first-token"`
	PerMille   int           `json:"per-mille"`
}

type operatorJSON struct {
	ID        string               `json:"id"`
	KeyDigest coltsidentity.Digest `json:"key-digest"`
	Sections  []string             `json:"sections"`
}

// sectionDecoder decodes the text of one section into the section's field of dst.
type sectionDecoder func(text []byte, dst *coltsdocument.Sections) []coltsjsonc.Problem

var sectionDecoders = map[coltsdocument.SectionName]sectionDecoder{
	coltsdocument.SectionOrganisations: decodeOrganisations,
	coltsdocument.SectionModels:        decodeModels,
	coltsdocument.SectionPricing:       decodePricing,
	coltsdocument.SectionUpstreams:     decodeUpstreams,
	coltsdocument.SectionObjectives:    decodeObjectives,
	coltsdocument.SectionOperators:     decodeOperators,
}

// DecodeSection decodes the text of one section. Line numbers in the problems are
// relative to the section: its first line is 1.
func DecodeSection(name coltsdocument.SectionName, text []byte) (coltsdocument.Sections, []coltsdocument.Problem) {
	var sections coltsdocument.Sections
	decode, known := sectionDecoders[name]
	if !known {
		reason := "there is no such section" + coltsjsonc.Suggest(string(name), sectionNames())
		return sections, []coltsdocument.Problem{{Section: name, Path: string(name), Reason: reason, Line: 1}}
	}
	problems := make([]coltsdocument.Problem, 0)
	for _, p := range decode(text, &sections) {
		problems = append(problems, coltsdocument.Problem{
			Section: name,
			Path:    joinPath(string(name), p.Path),
			Reason:  p.Reason,
			Line:    p.Line,
		})
	}
	return sections, problems
}

func joinPath(section, path string) string {
	if path == "" {
		return section
	}
	return section + "/" + path
}

func sectionNames() []string {
	names := make([]string, 0, len(coltsdocument.SectionNames))
	for _, n := range coltsdocument.SectionNames {
		names = append(names, string(n))
	}
	return names
}

// convert returns the results of calling fn for each element of list.
func convert[A, B any](list []A, fn func(A) B) []B {
	converted := make([]B, 0, len(list))
	for _, a := range list {
		converted = append(converted, fn(a))
	}
	return converted
}

// convertIDs converts strings to identifiers of type T.
func convertIDs[T ~string](list []string) []T {
	return convert(list, func(s string) T { return T(s) })
}

func decodeOrganisations(text []byte, dst *coltsdocument.Sections) []coltsjsonc.Problem {
	var list []organisationJSON
	problems := coltsjsonc.Decode(text, &list)
	dst.Organisations = convert(list, func(o organisationJSON) coltsdocument.Organisation {
		return coltsdocument.Organisation{
			ID:         coltsidentity.Organisation(o.ID),
			KeyDigests: o.KeyDigests,
			Models: convert(o.Models, func(g modelGrantJSON) coltsdocument.ModelGrant {
				return coltsdocument.ModelGrant{
					Model:   coltsidentity.Model(g.Model),
					Version: coltsidentity.Version(g.Version),
				}
			}),
			Services:              convertIDs[coltsidentity.Service](o.Services),
			Weight:                o.Weight,
			MaxConcurrentRequests: o.Concurrent,
			TokensPerSecond:       o.TokensPerSecond,
		}
	})
	return problems
}

func decodeModels(text []byte, dst *coltsdocument.Sections) []coltsjsonc.Problem {
	var list []modelJSON
	problems := coltsjsonc.Decode(text, &list)
	dst.Models = convert(list, func(m modelJSON) coltsdocument.Model {
		return coltsdocument.Model{
			ID:       coltsidentity.Model(m.ID),
			Current:  coltsidentity.Version(m.Current),
			Versions: convertIDs[coltsidentity.Version](m.Versions),
		}
	})
	return problems
}

func decodePricing(text []byte, dst *coltsdocument.Sections) []coltsjsonc.Problem {
	var p pricingJSON
	problems := coltsjsonc.Decode(text, &p)
	dst.Pricing = coltsdocument.Pricing{
		Models: convert(p.Models, func(m modelPriceJSON) coltsdocument.ModelPrice {
			return coltsdocument.ModelPrice{
				Model:           coltsidentity.Model(m.Model),
				ComputedMicros:  m.Computed,
				ReusedMicros:    m.Reused,
				GeneratedMicros: m.Generated,
			}
		}),
		Services: convert(p.Services, func(s servicePriceJSON) coltsdocument.ServicePrice {
			return coltsdocument.ServicePrice{Service: coltsidentity.Service(s.Service), Micros: s.Micros}
		}),
	}
	return problems
}

func decodeUpstreams(text []byte, dst *coltsdocument.Sections) []coltsjsonc.Problem {
	var u upstreamsJSON
	problems := coltsjsonc.Decode(text, &u)
	dst.Upstreams = coltsdocument.UpstreamRules{
		Trusted: convert(u.Trusted, func(t trustRuleJSON) coltsdocument.TrustRule {
			return coltsdocument.TrustRule{
				Network:       t.Network,
				Kind:          coltsdocument.Kind(t.Kind),
				DataCentre:    coltsidentity.DataCentre(t.DataCentre),
				ChecksFencing: t.ChecksFencing,
			}
		}),
		Draining: convertIDs[coltsidentity.Upstream](u.Draining),
	}
	return problems
}

func decodeObjectives(text []byte, dst *coltsdocument.Sections) []coltsjsonc.Problem {
	var list []objectiveJSON
	problems := coltsjsonc.Decode(text, &list)
	dst.Objectives = convert(list, func(o objectiveJSON) coltsdocument.Objective {
		return coltsdocument.Objective{
			Name:                o.Name,
			Model:               coltsidentity.Model(o.Model),
			MaxTimeToFirstToken: o.FirstToken,
			TargetPerMille:      o.PerMille,
		}
	})
	return problems
}

func decodeOperators(text []byte, dst *coltsdocument.Sections) []coltsjsonc.Problem {
	var list []operatorJSON
	problems := coltsjsonc.Decode(text, &list)
	dst.Operators = convert(list, func(o operatorJSON) coltsdocument.Operator {
		return coltsdocument.Operator{
			ID:        coltsidentity.Operator(o.ID),
			KeyDigest: o.KeyDigest,
			Sections:  convertIDs[coltsdocument.SectionName](o.Sections),
		}
	})
	return problems
}

// SectionSource is the text of one section inside a whole document's text.
type SectionSource struct {
	Name coltsdocument.SectionName
	Text []byte
	// Line is the line of the document on which the section's value starts; the
	// document's first line is 1.
	Line int
}

// SplitDocument returns the sections contained in a document's text, in the order of
// the text.
func SplitDocument(text []byte) ([]SectionSource, []coltsdocument.Problem) {
	value, err := hujson.Parse(text)
	if err != nil {
		// Decode fails with the same syntax error and adds its line number.
		var empty struct{}
		return nil, documentProblems(coltsjsonc.Decode(text, &empty))
	}
	object, ok := value.Value.(*hujson.Object)
	if !ok {
		return nil, []coltsdocument.Problem{
			{Path: "document", Reason: "is not an object with sections as its members", Line: 1},
		}
	}
	sources := make([]SectionSource, 0, len(object.Members))
	for _, member := range object.Members {
		literal, _ := member.Name.Value.(hujson.Literal)
		start, end := member.Value.StartOffset, member.Value.EndOffset
		sources = append(sources, SectionSource{
			Name: coltsdocument.SectionName(literal.String()),
			Text: text[start:end],
			Line: 1 + bytes.Count(text[:start], []byte("\n")),
		})
	}
	return sources, nil
}

func documentProblems(problems []coltsjsonc.Problem) []coltsdocument.Problem {
	return convert(problems, func(p coltsjsonc.Problem) coltsdocument.Problem {
		return coltsdocument.Problem{Path: joinPath("document", p.Path), Reason: p.Reason, Line: p.Line}
	})
}

// DecodeDocument decodes the text of a whole document and reports every problem. The
// rules of coltsdocument are checked only if all sections could be decoded.
func DecodeDocument(text []byte) (coltsdocument.Sections, []coltsdocument.Problem) {
	sources, problems := SplitDocument(text)
	var sections coltsdocument.Sections
	for _, source := range sources {
		content, sectionProblems := DecodeSection(source.Name, source.Text)
		problems = append(problems, source.ShiftLines(sectionProblems)...)
		sections = coltsdocument.ReplaceSection(sections, content, source.Name)
	}
	if len(problems) > 0 {
		return sections, problems
	}
	return sections, coltsdocument.Validate(sections)
}

// ShiftLines returns a section's problems with their line numbers changed from
// relative to the section to relative to the document. Problems without a line
// (Line 0) stay as they are.
func (s SectionSource) ShiftLines(problems []coltsdocument.Problem) []coltsdocument.Problem {
	shifted := make([]coltsdocument.Problem, 0, len(problems))
	for _, p := range problems {
		if p.Line > 0 {
			p.Line += s.Line - 1
		}
		shifted = append(shifted, p)
	}
	return shifted
}
