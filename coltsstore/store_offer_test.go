package coltsstore

// Guards against fetches of parts that are being written: a store that may have restarted takes no
// parts while any follower may still fetch what it held before.

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// listed returns a listing of one part by a boot of a store.
func listed(epoch uint64) Listing {
	return Listing{BootEpoch: epoch, Parts: map[Key]int{key("a"): 10}, AnsweredAt: time.UnixMilli(1000)}
}

// followed returns a catalogue that has followed a store since before it was first listed.
func followed(epoch uint64) *Catalogue {
	c := NewCatalogue()
	c.Follow(capacities{})
	c.Follow(capacities{"s": 100})
	c.SetListed("s", listed(epoch), now)
	return c
}

// assertTakesParts asserts from when on the store "s" takes parts, which is between that time and the
// moment before. The zero time stands for always.
func assertTakesParts(t *testing.T, c *Catalogue, from time.Time) {
	t.Helper()
	takes := func(at time.Time) bool {
		offers := c.Offers(at)
		assert.Equal(t, len(offers), 1)
		return offers[0].TakesParts
	}
	if from.IsZero() {
		assert.Assert(t, takes(now))
		return
	}
	assert.Assert(t, !takes(from.Add(-1)))
	assert.Assert(t, takes(from))
}

func TestOffers(t *testing.T) {
	t.Run("a store that was not offered before takes parts at once", func(t *testing.T) {
		assertTakesParts(t, followed(1), time.Time{})
	})
	t.Run("an offer ends by the store's clock", func(t *testing.T) {
		c := followed(1)
		c.ConfirmAnswer("s", time.UnixMilli(2500))
		assert.Equal(t, c.Offers(now)[0].FetchUntil, time.UnixMilli(2500).Add(OfferValidity))
	})
	t.Run("a store that gives no time is offered without an end", func(t *testing.T) {
		c := followed(1)
		c.ConfirmAnswer("s", time.Time{})
		assert.Assert(t, c.Offers(now)[0].FetchUntil.IsZero())
	})
	t.Run("a store that restarted takes parts when its offers have expired", func(t *testing.T) {
		c := followed(1)
		c.Reset("s", now)
		c.SetListed("s", listed(2), now.Add(time.Second))
		assertTakesParts(t, c, now.Add(OfferValidity))
	})
	t.Run("the time that it did not answer counts", func(t *testing.T) {
		c := followed(1)
		c.MarkFailed("s", now)
		c.MarkFailed("s", now.Add(time.Second))
		c.SetListed("s", listed(2), now.Add(4*time.Second))
		assertTakesParts(t, c, now.Add(OfferValidity))
	})
	t.Run("a store that was only silent takes parts at once", func(t *testing.T) {
		c := followed(1)
		c.MarkFailed("s", now)
		c.SetListed("s", listed(1), now.Add(time.Second))
		assertTakesParts(t, c, time.Time{})
	})
	t.Run("a restart during the wait after another extends it", func(t *testing.T) {
		c := followed(1)
		c.Reset("s", now)
		c.SetListed("s", listed(2), now)
		c.Reset("s", now.Add(time.Second))
		c.SetListed("s", listed(3), now.Add(time.Second))
		assertTakesParts(t, c, now.Add(time.Second+OfferValidity))
	})
	t.Run("a new leader waits, as it does not know what was offered", func(t *testing.T) {
		c := NewCatalogue()
		c.Follow(capacities{"s": 100})
		c.SetListed("s", listed(1), now)
		assertTakesParts(t, c, now.Add(OfferValidity))
	})
	t.Run("a new leader that knows the boot from its predecessor does not wait", func(t *testing.T) {
		c := NewCatalogue()
		c.Mirror(followed(1).Offers(now))
		c.Follow(capacities{"s": 100})
		c.SetListed("s", listed(1), now)
		assertTakesParts(t, c, time.Time{})
	})
	t.Run("a new leader that knows an earlier boot waits", func(t *testing.T) {
		c := NewCatalogue()
		c.Mirror(followed(1).Offers(now))
		c.Follow(capacities{"s": 100})
		c.SetListed("s", listed(2), now)
		assertTakesParts(t, c, now.Add(OfferValidity))
	})
	t.Run("a boot that does not take parts yet is not known to a new leader", func(t *testing.T) {
		old := followed(1)
		old.Reset("s", now)
		old.SetListed("s", listed(2), now)
		c := NewCatalogue()
		c.Mirror(old.Offers(now))
		c.Follow(capacities{"s": 100})
		c.SetListed("s", listed(2), now)
		assertTakesParts(t, c, now.Add(OfferValidity))
	})
	t.Run("a leader that led before knows the boot", func(t *testing.T) {
		c := followed(1)
		c.Abandon()
		c.Follow(capacities{"s": 100})
		c.SetListed("s", listed(1), now)
		assertTakesParts(t, c, time.Time{})
	})
}
