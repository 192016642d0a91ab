package coltsprocess

// What an entry itself costs: the same load is sent straight to a stand-in and by
// way of an entry, in one run, and the entry's processor time is read from the
// kernel. Run it with
//
//	go test ./coltsprocess -run '^$' -bench EntryCost -benchtime 3x

import (
	"fmt"
	"net/netip"
	"os"
	"slices"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"coltsfootstall/coltscaller"
	"coltsfootstall/coltssystem"
)

const (
	// benchStreams run at once, each with a token every benchPeriod, so that every
	// token is a message of its own, as it is behind a real engine.
	benchStreams = 1200
	benchTokens  = 100
	benchPeriod  = 20 * time.Millisecond
	benchShort   = 200
	// ticksPerSecond is the unit of the kernel's processor times.
	ticksPerSecond = 100
)

// cpu returns the processor time that a process has used.
func (p *process) cpu(t testing.TB) time.Duration {
	t.Helper()
	text, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", p.cmd.Process.Pid))
	assert.NilError(t, err)
	// The fields after the program's name, which may hold spaces, in brackets.
	_, rest, _ := strings.Cut(string(text), ") ")
	fields := strings.Fields(rest)
	user, err := strconv.Atoi(fields[11])
	assert.NilError(t, err)
	system, err := strconv.Atoi(fields[12])
	assert.NilError(t, err)
	return time.Duration(user+system) * time.Second / ticksPerSecond
}

// streamAll runs many streams at once and returns how long they took.
func streamAll(b *testing.B, client *coltscaller.Client, addr netip.AddrPort) time.Duration {
	b.Helper()
	var wg sync.WaitGroup
	begin := time.Now()
	for i := range benchStreams {
		wg.Go(func() {
			r, err := client.Stream(addr, promptOf(fmt.Sprint(i), benchTokens))
			if err != nil || !r.Whole {
				b.Errorf("a stream did not end whole: %v %s", err, r.Refusal)
			}
		})
	}
	wg.Wait()
	return time.Since(begin)
}

// firstTokens returns the sorted times to first token of short prompts, one after
// another.
func firstTokens(b *testing.B, client *coltscaller.Client, addr netip.AddrPort) []time.Duration {
	b.Helper()
	times := make([]time.Duration, 0, benchShort)
	for i := range benchShort {
		r, err := client.Stream(addr, promptOf(fmt.Sprint(i), 1))
		assert.NilError(b, err)
		times = append(times, r.FirstToken)
	}
	slices.Sort(times)
	return times
}

func percentile(times []time.Duration, per100 int) time.Duration {
	return times[(len(times)-1)*per100/100]
}

func BenchmarkEntryCost(b *testing.B) {
	// The entry gets one core, so that a token's cost is that of a loaded core and
	// not that of idle ones waking up.
	b.Setenv("GOMAXPROCS", "1")
	c := startCluster(b, 1, 1, "--token-period", benchPeriod.String(), "--prefill-per-second", "100000000")
	client := coltscaller.New(coltscaller.Config{Key: coltssystem.KeySeedPaper})
	direct, entry := c.runners[0].addr(b, "address"), c.callers(0)
	firstTokens(b, client, entry) // warms connections and code up
	var tokens, short float64
	var streamCPU, shortCPU, straight, through time.Duration
	var added50, added99 time.Duration
	for b.Loop() {
		straight += streamAll(b, client, direct)
		before := c.entries[0].cpu(b)
		through += streamAll(b, client, entry)
		streamCPU += c.entries[0].cpu(b) - before
		tokens += benchStreams * benchTokens
		base := firstTokens(b, client, direct)
		before = c.entries[0].cpu(b)
		times := firstTokens(b, client, entry)
		shortCPU += c.entries[0].cpu(b) - before
		short += benchShort
		added50 += percentile(times, 50) - percentile(base, 50)
		added99 += percentile(times, 99) - percentile(base, 99)
	}
	n := float64(b.N)
	b.ReportMetric(tokens/streamCPU.Seconds(), "tokens/core-s")
	b.ReportMetric(through.Seconds()/straight.Seconds(), "stream-time-ratio")
	b.ReportMetric(shortCPU.Seconds()*1e6/short, "cpu-µs/request")
	b.ReportMetric(float64(added50.Microseconds())/n, "added-p50-µs")
	b.ReportMetric(float64(added99.Microseconds())/n, "added-p99-µs")
}
