package coltsprocess

// Bookings while processes are killed and links are cut. The tests compare what
// the service has run with the outcomes that callers received and with the charges.
//
// CI makes a few bookings. The full run is
//
//	go test ./coltsprocess -run BookingsUnderFaults -bookings 1200

import (
	"encoding/json"
	"flag"
	"fmt"
	"math/rand/v2"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"coltsfootstall/coltscaller"
	"coltsfootstall/coltssystem"
)

var (
	bookings    = flag.Int("bookings", 150, "number of bookings under faults")
	bookingSeed = flag.Uint64("booking-seed", 1, "seed of the faults")
)

const (
	// bookingCallers is the number of concurrent callers.
	bookingCallers = 12
	// faultDuration is how long each injected fault lasts, except the kill of an
	// entry, which lasts until the entry has restarted.
	faultDuration = 1500 * time.Millisecond
)

// runCounts returns how often the service has run the call with each key.
func (c *cluster) runCounts() map[string]int {
	c.t.Helper()
	body, status := httpGet(c.t, c.services[0].awaitAddr(c.t, "address"), "/standin/runs")
	assert.Equal(c.t, status, http.StatusOK)
	counts := map[string]int{}
	assert.NilError(c.t, json.Unmarshal([]byte(body), &counts))
	return counts
}

// bookAll makes n bookings with concurrent callers and no faults.
func bookAll(t *testing.T, c *cluster, n int) {
	t.Helper()
	client := coltscaller.New(coltscaller.Config{Key: coltssystem.KeySeedPaper})
	var wg sync.WaitGroup
	numbers := make(chan int, n)
	for i := range n {
		numbers <- i
	}
	close(numbers)
	for range bookingCallers {
		wg.Go(func() {
			for i := range numbers {
				call := coltscaller.Call{Service: coltssystem.ServiceName, IdempotencyKey: fmt.Sprintf("many-%d", i)}
				assert.Check(t, callUntilRan(c, client, 0, call))
			}
		})
	}
	wg.Wait()
}

// outcomeCounts counts the answers that callers received for one key, by outcome.
type outcomeCounts struct {
	ran     int
	unknown int
	notRun  int
	// lastNotRun is true if the last request got an answer with the outcome "not-run".
	lastNotRun bool
	// failed counts the requests that ended without an answer.
	failed int
}

// outcomeTally collects the outcomes that callers received, by key.
type outcomeTally struct {
	mu   sync.Mutex
	keys map[string]*outcomeCounts
}

// add counts the result of one request.
func (o *outcomeTally) add(key string, r coltscaller.CallReply, err error) {
	o.mu.Lock()
	defer o.mu.Unlock()
	counts := o.keys[key]
	if counts == nil {
		counts = &outcomeCounts{}
		o.keys[key] = counts
	}
	counts.lastNotRun = err == nil && r.Outcome == "not-run"
	switch {
	case err != nil:
		counts.failed++
	case r.Outcome == "ran":
		counts.ran++
	case r.Outcome == "not-run":
		counts.notRun++
	default:
		counts.unknown++
	}
}

// bookOne sends a booking to random entries until an answer says that it has run
// or that its result stays unknown. It gives up after 40 attempts.
func bookOne(c *cluster, client *coltscaller.Client, tally *outcomeTally, key string, rng *rand.Rand) {
	for range 40 {
		entry := rng.IntN(len(c.entries))
		addr, ok := c.entries[entry].startedAddr("callers")
		if !ok {
			time.Sleep(100 * time.Millisecond)
			continue
		}
		r, err := client.Call(addr, coltscaller.Call{Service: coltssystem.ServiceName, IdempotencyKey: key, Body: []byte(key)})
		tally.add(key, r, err)
		if err == nil && (r.Outcome == "ran" || r.Reason == "result-unknown") {
			return
		}
		time.Sleep(100 * time.Millisecond)
	}
}

// injectFault injects one random fault. It kills or isolates a control instance, kills
// an entry, or silences the open connections from the entries to a control instance.
// When it returns, killed processes run again and isolated instances are reachable.
func injectFault(g *group, c *cluster, rng *rand.Rand) {
	i := rng.IntN(g.initial)
	switch rng.IntN(4) {
	case 0:
		g.controls[i].kill()
		time.Sleep(faultDuration)
		g.start(i)
	case 1:
		g.isolate(i)
		time.Sleep(faultDuration)
		g.heal(i)
	case 2:
		e := rng.IntN(len(c.entries))
		c.entries[e].kill()
		c.restartEntry(e)
	case 3:
		g.entryProxies[i].SilenceOpen()
		time.Sleep(faultDuration)
	}
}

// restartEntry restarts a killed entry and waits until it has started.
func (c *cluster) restartEntry(i int) {
	c.t.Helper()
	restarted := c.newEntry(i)
	restarted.awaitAddr(c.t, "callers")
	c.entries[i].replaceWith(restarted)
}

func TestBookingsUnderFaults(t *testing.T) {
	g := startGroup(t, 3, 3)
	c := g.startEntries(3, 0)
	tally := &outcomeTally{keys: map[string]*outcomeCounts{}}
	keys := make(chan string, *bookings)
	var wg sync.WaitGroup
	for caller := range bookingCallers {
		rng := rand.New(rand.NewPCG(*bookingSeed, uint64(caller)))
		wg.Go(func() {
			client := coltscaller.New(coltscaller.Config{Key: coltssystem.KeySeedPaper, Timeout: 20 * time.Second})
			for key := range keys {
				bookOne(c, client, tally, key, rng)
			}
		})
	}
	faultsDone := make(chan struct{})
	go func() {
		defer close(faultsDone)
		rng := rand.New(rand.NewPCG(*bookingSeed, 1<<32))
		for i := 0; i < *bookings/15 || i < 8; i++ {
			injectFault(g, c, rng)
		}
	}()
	for i := range *bookings {
		keys <- fmt.Sprintf("booking-%d", i)
		time.Sleep(faultDuration / 15)
	}
	close(keys)
	wg.Wait()
	<-faultsDone
	g.awaitLeader(0, 1, 2)

	runs := c.runCounts()
	ran, unknown, neverGranted := 0, 0, 0
	for key, counts := range tally.keys {
		assert.Check(t, runs[key] <= 1, "%s ran %d times", key, runs[key])
		assert.Check(t, counts.ran == 0 || runs[key] == 1,
			"%s was reported as run, but the service did not run it", key)
		assert.Check(t, !counts.lastNotRun || counts.ran > 0 || runs[key] == 0,
			"%s was last reported as not run, but the service ran it", key)
		switch {
		case counts.ran > 0:
			ran++
		case counts.unknown > 0:
			unknown++
		default:
			neverGranted++
		}
	}
	t.Logf("%d bookings: %d reported as run, %d unknown, %d never granted",
		len(tally.keys), ran, unknown, neverGranted)
	assert.Assert(t, ran > 0)
	t.Run("each booking reported as run was charged once", func(t *testing.T) {
		assertCharges(t, g, tally, runs)
	})
}

// assertCharges asserts that the number of charged calls to the service is at least
// the number that callers know to have run, and at most the number that ran.
func assertCharges(t *testing.T, g *group, tally *outcomeTally, runs map[string]int) {
	t.Helper()
	knownRuns := 0
	for _, counts := range tally.keys {
		if counts.ran > 0 {
			knownRuns++
		}
	}
	charges := 0
	assert.NilError(t, coltssystem.Await(conditionTimeout, "the charges are reported", func() bool {
		out, status := runCommand(t, "", "report", "spend", "--json", g.controlFlag())
		var report struct {
			Rows []struct {
				Item     string
				Requests int
			}
		}
		if status != 0 || json.Unmarshal([]byte(out), &report) != nil {
			return false
		}
		charges = 0
		for _, row := range report.Rows {
			if strings.EqualFold(row.Item, coltssystem.ServiceName) {
				charges += row.Requests
			}
		}
		return charges >= knownRuns
	}))
	totalRuns := 0
	for _, n := range runs {
		totalRuns += n
	}
	assert.Assert(t, charges <= totalRuns, "%d charges, %d run", charges, totalRuns)
}
