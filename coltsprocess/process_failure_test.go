package coltsprocess

// Requests through separate processes while an entry shuts down and while control
// is killed.

import (
	"fmt"
	"net/http"
	"strings"
	"sync"
	"syscall"
	"testing"

	"gotest.tools/v3/assert"

	"coltsfootstall/coltscaller"
	"coltsfootstall/coltssystem"
)

// newPrompt returns a short prompt for an answer of the given number of tokens.
func newPrompt(name string, tokens int) coltscaller.Prompt {
	return coltscaller.Prompt{
		Model:     coltssystem.ModelName,
		MaxTokens: tokens,
		Messages:  []coltscaller.Message{{Role: "user", Content: "batch " + name}},
	}
}

// assertComplete asserts that a reply is complete and has the given number of tokens.
func assertComplete(t *testing.T, tokens int, r coltscaller.Reply, err error) {
	t.Helper()
	assert.NilError(t, err)
	assert.Equal(t, r.Refusal, "")
	assert.Assert(t, r.Complete)
	assert.Equal(t, len(strings.Fields(r.Text)), tokens)
}

func TestShutdown(t *testing.T) {
	c := startCluster(t, 2, 2, "--token-period", "20ms")
	client := coltscaller.New(coltscaller.Config{Key: coltssystem.KeySeedPaper})
	const streams, tokens = 8, 150
	var wg sync.WaitGroup
	replies := make([]coltscaller.Reply, streams)
	errs := make([]error, streams)
	for i := range streams {
		wg.Go(func() { replies[i], errs[i] = client.Stream(c.callerAddr(0), newPrompt(fmt.Sprint(i), tokens)) })
	}
	err := coltssystem.Await(conditionTimeout, "every stream has started", func() bool {
		return c.metric(0, "first-tokens") == streams
	})
	assert.NilError(t, err)
	operatorAddr := c.entries[0].awaitAddr(t, "operators")
	c.entries[0].signal(t, syscall.SIGTERM)

	t.Run("readiness fails while streams run", func(t *testing.T) {
		err := coltssystem.Await(conditionTimeout, "readiness fails", func() bool {
			_, status := httpGet(t, operatorAddr, "/ready")
			return status == http.StatusServiceUnavailable
		})
		assert.NilError(t, err)
	})
	t.Run("streams complete", func(t *testing.T) {
		wg.Wait()
		for i := range streams {
			assertComplete(t, tokens, replies[i], errs[i])
		}
	})
	t.Run("the process exits with status 0", func(t *testing.T) {
		assert.Equal(t, c.entries[0].waitExit(t), 0)
	})
}

func TestControlDies(t *testing.T) {
	c := startCluster(t, 2, 1)
	client := coltscaller.New(coltscaller.Config{Key: coltssystem.KeySeedPaper})
	call := coltscaller.Call{Service: coltssystem.ServiceName, Path: "runs", IdempotencyKey: "k1", Body: []byte("{}")}
	first, err := client.Call(c.callerAddr(0), call)
	assert.NilError(t, err)
	assert.Equal(t, first.Status, http.StatusOK)
	c.control.kill()

	t.Run("prompts are served without control", func(t *testing.T) {
		r, err := client.Stream(c.callerAddr(0), newPrompt("alone", 5))
		assertComplete(t, 5, r, err)
	})
	t.Run("a booking is refused as not run while the ledger is unreachable", func(t *testing.T) {
		r, err := client.Call(c.callerAddr(0), coltscaller.Call{Service: coltssystem.ServiceName, IdempotencyKey: "k2"})
		assert.NilError(t, err)
		assert.Equal(t, r.Outcome, "not-run")
		assert.Equal(t, r.Reason, "ledger-unreachable")
	})
	t.Run("after a restart the booking is answered from the ledger", func(t *testing.T) {
		c.startControl()
		r, err := client.Call(c.callerAddr(1), call)
		assert.NilError(t, err)
		assert.Assert(t, r.Replayed)
		assert.Equal(t, string(r.Body), string(first.Body))
	})
}

func TestControlDiesDuringCall(t *testing.T) {
	c := startCluster(t, 2, 0)
	faults := `{"slowdown": 300}`
	resp, err := http.Post("http://"+c.services[0].awaitAddr(t, "address").String()+"/standin/faults",
		"application/json", strings.NewReader(faults))
	assert.NilError(t, err)
	assert.NilError(t, resp.Body.Close())
	client := coltscaller.New(coltscaller.Config{Key: coltssystem.KeySeedPaper})
	call := coltscaller.Call{Service: coltssystem.ServiceName, IdempotencyKey: "during"}
	var reply coltscaller.CallReply
	var wg sync.WaitGroup
	wg.Go(func() { reply, err = client.Call(c.callerAddr(0), call) })
	assert.NilError(t, coltssystem.Await(conditionTimeout, "the call is granted", func() bool {
		return c.metric(0, "grants") == 1
	}))
	c.control.kill()
	wg.Wait()

	t.Run("the caller learns that the call ran", func(t *testing.T) {
		assert.NilError(t, err)
		assert.Equal(t, reply.Outcome, "ran")
	})
	t.Run("the result is recorded in the ledger after control restarts", func(t *testing.T) {
		c.startControl()
		var again coltscaller.CallReply
		assert.NilError(t, coltssystem.Await(conditionTimeout, "the answer is recorded", func() bool {
			again, err = client.Call(c.callerAddr(1), call)
			return err == nil && again.Replayed
		}))
		assert.Equal(t, string(again.Body), string(reply.Body))
		assert.Equal(t, c.runCounts()["during"], 1)
	})
}
