// Package coltscodec reads and writes the texts that cross the system's edges:
// the operators' document, callers' requests and the upstreams' messages. It
// decides nothing.
package coltscodec

// The document's own names in kebab case stand only here; the aggregate's types
// know nothing of them. Every section has one pair of a text type and a function
// that turns it into the aggregate's type.

import (
	"bytes"
	"net/netip"
	"time"

	"github.com/tailscale/hujson"

	"coltsfootstall/coltsdocument"
	"coltsfootstall/coltsidentity"
	"coltsfootstall/coltsjsonc"
)

type organisationText struct {
	ID              string                 `json:"id"`
	KeyDigests      []coltsidentity.Digest `json:"key-digests"`
	Models          []modelGrantText       `json:"models"`
	Services        []string               `json:"services"`
	Weight          int                    `json:"weight"`
	Concurrent      int                    `json:"concurrent"`
	TokensPerSecond int64                  `json:"tokens-per-second"`
}

type modelGrantText struct {
	Model   string `json:"model"`
	Version string `json:"version"`
}

type modelText struct {
	ID       string   `json:"id"`
	Current  string   `json:"current"`
	Versions []string `json:"versions"`
}

type pricingText struct {
	Models   []modelPriceText   `json:"models"`
	Services []servicePriceText `json:"services"`
}

type modelPriceText struct {
	Model     string `json:"model"`
	Computed  int64  `json:"computed-micros"`
	Reused    int64  `json:"reused-micros"`
	Generated int64  `json:"generated-micros"`
}

type servicePriceText struct {
	Service string `json:"service"`
	Micros  int64  `json:"micros"`
}

type upstreamsText struct {
	Trusted  []trustRuleText `json:"trusted"`
	Draining []string        `json:"draining"`
}

type trustRuleText struct {
	Network       netip.Prefix `json:"network"`
	Kind          string       `json:"kind"`
	DataCentre    string       `json:"data-centre"`
	ChecksFencing bool         `json:"checks-fencing"`
}

type objectiveText struct {
	Name       string        `json:"name"`
	Model      string        `json:"model"`
	FirstToken time.Duration `json:"first-token"`
	PerMille   int           `json:"per-mille"`
}

type operatorText struct {
	ID        string               `json:"id"`
	KeyDigest coltsidentity.Digest `json:"key-digest"`
	Sections  []string             `json:"sections"`
}

// sectionDecoder reads one section's text into its field of Sections.
type sectionDecoder func(text []byte, to *coltsdocument.Sections) []coltsjsonc.Problem

var sectionDecoders = map[coltsdocument.SectionName]sectionDecoder{
	coltsdocument.SectionOrganisations: decodeOrganisations,
	coltsdocument.SectionModels:        decodeModels,
	coltsdocument.SectionPricing:       decodePricing,
	coltsdocument.SectionUpstreams:     decodeUpstreams,
	coltsdocument.SectionObjectives:    decodeObjectives,
	coltsdocument.SectionOperators:     decodeOperators,
}

// DecodeSection reads the text of one section. The lines of its problems count
// from the section's first line.
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

// convert turns each element of a list.
func convert[A, B any](list []A, fn func(A) B) []B {
	converted := make([]B, 0, len(list))
	for _, a := range list {
		converted = append(converted, fn(a))
	}
	return converted
}

// named turns texts into identities.
func named[T ~string](list []string) []T {
	return convert(list, func(s string) T { return T(s) })
}

func decodeOrganisations(text []byte, to *coltsdocument.Sections) []coltsjsonc.Problem {
	var list []organisationText
	problems := coltsjsonc.Decode(text, &list)
	to.Organisations = convert(list, func(o organisationText) coltsdocument.Organisation {
		return coltsdocument.Organisation{
			ID:         coltsidentity.Organisation(o.ID),
			KeyDigests: o.KeyDigests,
			Models: convert(o.Models, func(g modelGrantText) coltsdocument.ModelGrant {
				return coltsdocument.ModelGrant{
					Model:   coltsidentity.Model(g.Model),
					Version: coltsidentity.Version(g.Version),
				}
			}),
			Services:        named[coltsidentity.Service](o.Services),
			Weight:          o.Weight,
			Concurrent:      o.Concurrent,
			TokensPerSecond: o.TokensPerSecond,
		}
	})
	return problems
}

func decodeModels(text []byte, to *coltsdocument.Sections) []coltsjsonc.Problem {
	var list []modelText
	problems := coltsjsonc.Decode(text, &list)
	to.Models = convert(list, func(m modelText) coltsdocument.Model {
		return coltsdocument.Model{
			ID:       coltsidentity.Model(m.ID),
			Current:  coltsidentity.Version(m.Current),
			Versions: named[coltsidentity.Version](m.Versions),
		}
	})
	return problems
}

func decodePricing(text []byte, to *coltsdocument.Sections) []coltsjsonc.Problem {
	var p pricingText
	problems := coltsjsonc.Decode(text, &p)
	to.Pricing = coltsdocument.Pricing{
		Models: convert(p.Models, func(m modelPriceText) coltsdocument.ModelPrice {
			return coltsdocument.ModelPrice{
				Model:           coltsidentity.Model(m.Model),
				ComputedMicros:  m.Computed,
				ReusedMicros:    m.Reused,
				GeneratedMicros: m.Generated,
			}
		}),
		Services: convert(p.Services, func(s servicePriceText) coltsdocument.ServicePrice {
			return coltsdocument.ServicePrice{Service: coltsidentity.Service(s.Service), Micros: s.Micros}
		}),
	}
	return problems
}

func decodeUpstreams(text []byte, to *coltsdocument.Sections) []coltsjsonc.Problem {
	var u upstreamsText
	problems := coltsjsonc.Decode(text, &u)
	to.Upstreams = coltsdocument.UpstreamRules{
		Trusted: convert(u.Trusted, func(t trustRuleText) coltsdocument.TrustRule {
			return coltsdocument.TrustRule{
				Network:       t.Network,
				Kind:          coltsdocument.Kind(t.Kind),
				DataCentre:    coltsidentity.DataCentre(t.DataCentre),
				ChecksFencing: t.ChecksFencing,
			}
		}),
		Draining: named[coltsidentity.Upstream](u.Draining),
	}
	return problems
}

func decodeObjectives(text []byte, to *coltsdocument.Sections) []coltsjsonc.Problem {
	var list []objectiveText
	problems := coltsjsonc.Decode(text, &list)
	to.Objectives = convert(list, func(o objectiveText) coltsdocument.Objective {
		return coltsdocument.Objective{
			Name:       o.Name,
			Model:      coltsidentity.Model(o.Model),
			MaxTimeToFirstToken: o.FirstToken,
			PerMille:   o.PerMille,
		}
	})
	return problems
}

func decodeOperators(text []byte, to *coltsdocument.Sections) []coltsjsonc.Problem {
	var list []operatorText
	problems := coltsjsonc.Decode(text, &list)
	to.Operators = convert(list, func(o operatorText) coltsdocument.Operator {
		return coltsdocument.Operator{
			ID:        coltsidentity.Operator(o.ID),
			KeyDigest: o.KeyDigest,
			Sections:  named[coltsdocument.SectionName](o.Sections),
		}
	})
	return problems
}

// SectionSource is the text of one section inside a whole document's text.
type SectionSource struct {
	Name coltsdocument.SectionName
	Text []byte
	// Line is the line of the document on which the section's value starts.
	Line int
}

// SplitDocument returns the sections that a document's text holds, in its order.
func SplitDocument(text []byte) ([]SectionSource, []coltsdocument.Problem) {
	value, err := hujson.Parse(text)
	if err != nil {
		// The decoder reports the same error with its line.
		var nothing struct{}
		return nil, documentProblems(coltsjsonc.Decode(text, &nothing))
	}
	object, ok := value.Value.(*hujson.Object)
	if !ok {
		return nil, []coltsdocument.Problem{{Path: "document", Reason: "is not an object of sections", Line: 1}}
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

// DecodeDocument reads a whole document's text and reports every problem, those
// of the form and, if the form is right, those of the rules.
func DecodeDocument(text []byte) (coltsdocument.Sections, []coltsdocument.Problem) {
	sources, problems := SplitDocument(text)
	var sections coltsdocument.Sections
	for _, source := range sources {
		content, found := DecodeSection(source.Name, source.Text)
		problems = append(problems, source.InDocument(found)...)
		sections = coltsdocument.ReplaceSection(sections, content, source.Name)
	}
	if len(problems) > 0 {
		return sections, problems
	}
	return sections, coltsdocument.Validate(sections)
}

// InDocument moves the lines of a section's problems to those of the document.
func (s SectionSource) InDocument(problems []coltsdocument.Problem) []coltsdocument.Problem {
	moved := make([]coltsdocument.Problem, 0, len(problems))
	for _, p := range problems {
		if p.Line > 0 {
			p.Line += s.Line - 1
		}
		moved = append(moved, p)
	}
	return moved
}
