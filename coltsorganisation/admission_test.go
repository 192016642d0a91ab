package coltsorganisation

import (
	"errors"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"coltsfootstall/coltsdocument"
	"coltsfootstall/coltsidentity"
)

var start = time.Date(2026, 1, 2, 3, 4, 5, 0, time.UTC)

func organisation(id string, weight int) coltsdocument.Organisation {
	return coltsdocument.Organisation{ID: coltsidentity.Organisation(id), Weight: weight}
}

func assertLimit(t *testing.T, err error, limit string) *LimitError {
	t.Helper()
	var l *LimitError
	assert.Assert(t, errors.As(err, &l), "%v", err)
	assert.Equal(t, l.Limit, limit)
	return l
}

func TestLimits(t *testing.T) {
	t.Run("concurrent requests are limited, and the end of one allows another", func(t *testing.T) {
		a, o := NewAdmissionController(), organisation("acme", 1)
		o.MaxConcurrentRequests = 1
		assert.NilError(t, a.Admit(o, 10, start))
		assertLimit(t, a.Admit(o, 10, start), "concurrent")
		a.Release(o, 10, 0, start)
		assert.NilError(t, a.Admit(o, 10, start))
	})
	t.Run("the token rate is limited, and the error has the retry time", func(t *testing.T) {
		a, o := NewAdmissionController(), organisation("acme", 1)
		o.TokensPerSecond = 100
		assert.NilError(t, a.Admit(o, 500, start))
		l := assertLimit(t, a.Admit(o, 1, start), "tokens-per-second")
		assert.NilError(t, a.Admit(o, 1, l.RetryAt))
	})
	t.Run("limits are separate for each organisation", func(t *testing.T) {
		a, o := NewAdmissionController(), organisation("acme", 1)
		o.MaxConcurrentRequests = 1
		assert.NilError(t, a.Admit(o, 10, start))
		assert.NilError(t, a.Admit(organisation("zenith", 1), 10, start))
	})
}

func TestShare(t *testing.T) {
	a := NewAdmissionController()
	large, small := organisation("large", 2), organisation("small", 1)
	admit := func(o coltsdocument.Organisation, tokens int64) { assert.NilError(t, a.Admit(o, tokens, start)) }
	admit(large, 600)
	admit(small, 300)
	t.Run("organisations at exactly their fair share do not exceed it", func(t *testing.T) {
		assert.Assert(t, !a.ExceedsFairShare("large") && !a.ExceedsFairShare("small"))
	})
	t.Run("only the organisation with more than its fair share exceeds it", func(t *testing.T) {
		admit(large, 600)
		assert.Assert(t, a.ExceedsFairShare("large") && !a.ExceedsFairShare("small"))
	})
	t.Run("requests that ended do not count", func(t *testing.T) {
		a.Release(large, 600, 0, start)
		assert.Assert(t, !a.ExceedsFairShare("large"))
	})
	t.Run("an unknown organisation does not exceed its fair share", func(t *testing.T) {
		assert.Assert(t, !a.ExceedsFairShare("nobody"))
	})
}
