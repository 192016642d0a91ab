package coltsdocument

// Computed and reused prompt tokens have separate prices, because the purpose of
// the system is that callers don't pay again for work that was already done.

import (
	"fmt"

	"coltsfootstall/coltsidentity"
)

var sectionPricing = Section{
	Name: SectionPricing,
	Usage: `Prices in millionths of the currency unit: a thousand tokens, or one call.
  "pricing": {
    "models": [{"model": "seed-writer", "computed-micros": 400, "reused-micros": 40, "generated-micros": 1200}],
    "services": [{"service": "press", "micros": 250000}]
  }`,
	check:    checkPricing,
	copyTo:   func(to *Sections, from Sections) { to.Pricing = from.Pricing },
	describe: describePricing,
}

func checkPricing(s Sections, l *problemList) {
	models := make([]coltsidentity.Model, 0, len(s.Pricing.Models))
	for _, p := range s.Pricing.Models {
		models = append(models, p.Model)
		if !hasVersion(s, p.Model, "") {
			l.add("models/"+string(p.Model), "there is no such model")
		}
		if p.ComputedMicros < 0 || p.ReusedMicros < 0 || p.GeneratedMicros < 0 {
			l.add("models/"+string(p.Model), "a price is negative")
		}
	}
	addDuplicates(l, models)
	services := make([]coltsidentity.Service, 0, len(s.Pricing.Services))
	for _, p := range s.Pricing.Services {
		services = append(services, p.Service)
		if p.Micros < 0 {
			l.add("services/"+string(p.Service), "the price is negative")
		}
	}
	addDuplicates(l, services)
}

func describePricing(s Sections) []entryLine {
	lines := make([]entryLine, 0, len(s.Pricing.Models)+len(s.Pricing.Services))
	for _, p := range s.Pricing.Models {
		text := fmt.Sprintf("price of model %s: computed %d, reused %d, generated %d micros a thousand tokens",
			p.Model, p.ComputedMicros, p.ReusedMicros, p.GeneratedMicros)
		lines = append(lines, entryLine{key: "model/" + string(p.Model), text: text})
	}
	for _, p := range s.Pricing.Services {
		text := fmt.Sprintf("price of service %s: %d micros a call", p.Service, p.Micros)
		lines = append(lines, entryLine{key: "service/" + string(p.Service), text: text})
	}
	return lines
}
