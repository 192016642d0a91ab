package coltsforward

// The text that separates cached parts of prompts at upstreams and in stores. Neither says who made a
// part or with which weights, so all that must be kept apart is in the text.

import (
	"strconv"
	"strings"

	"coltsfootstall/coltsidentity"
	"coltsfootstall/coltsroute"
	"coltsfootstall/coltsweights"
)

const (
	scopeWeightsPrefix    = "v"
	scopeGenerationPrefix = "-g"
	scopePrivatePrefix    = "/"
)

// CacheScope is the scope within which the KV cache of prompt parts is shared: a weights version and
// the organisations that share it.
type CacheScope struct {
	Weights coltsweights.Number
	coltsroute.CacheScope
}

// String returns the text of the scope: v1 or, in a later generation, v1-g2 for the common one, v1/NAME
// for the private one of an organisation.
func (s CacheScope) String() string {
	text := scopeWeightsPrefix + strconv.FormatUint(uint64(s.Weights), 10)
	switch {
	case s.Private:
		text += scopePrivatePrefix + string(s.Organisation)
	case s.Generation > 0:
		text += scopeGenerationPrefix + strconv.FormatUint(uint64(s.Generation), 10)
	}
	return text
}

// ParseCacheScope returns the scope with a text, and whether there is one.
func ParseCacheScope(text string) (CacheScope, bool) {
	var s CacheScope
	rest, valid := strings.CutPrefix(text, scopeWeightsPrefix)
	if !valid {
		return s, false
	}
	common, organisation, private := strings.Cut(rest, scopePrivatePrefix)
	s.Private, s.Organisation = private, coltsidentity.Organisation(organisation)
	weights, generation, later := strings.Cut(common, scopeGenerationPrefix)
	n, err := strconv.ParseUint(weights, 10, 64)
	s.Weights = coltsweights.Number(n)
	if err == nil && later {
		n, err = strconv.ParseUint(generation, 10, 64)
		s.Generation = coltsroute.CacheGeneration(n)
	}
	return s, err == nil
}
