package coltsprocess

// The overhead of an entry: one run sends the same load directly to a simulated
// runner and through an entry, and reads the entry's CPU time from the kernel.
// Run it with
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
	// benchStreams is the number of concurrent streams. Each gets benchTokens
	// tokens, one every benchTokenPeriod, so that each token is sent as a separate
	// message, as with a real inference engine.
	benchStreams     = 1200
	benchTokens      = 100
	benchTokenPeriod = 20 * time.Millisecond
	// benchShortPrompts is the number of short prompts that measure time to first token.
	benchShortPrompts = 200
	// clockTicksPerSecond is the unit of the CPU times in /proc/PID/stat.
	clockTicksPerSecond = 100
)

// cpuTime returns the user and system CPU time that the process has used.
func (p *process) cpuTime(t testing.TB) time.Duration {
	t.Helper()
	stat, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", p.cmd.Process.Pid))
	assert.NilError(t, err)
	// Skip past the program's name, which is in parentheses and may contain spaces.
	_, afterName, _ := strings.Cut(string(stat), ") ")
	fields := strings.Fields(afterName)
	user, err := strconv.Atoi(fields[11])
	assert.NilError(t, err)
	system, err := strconv.Atoi(fields[12])
	assert.NilError(t, err)
	return time.Duration(user+system) * time.Second / clockTicksPerSecond
}

// streamAll runs benchStreams streams concurrently and returns the total time.
func streamAll(b *testing.B, client *coltscaller.Client, addr netip.AddrPort) time.Duration {
	b.Helper()
	var wg sync.WaitGroup
	begin := time.Now()
	for i := range benchStreams {
		wg.Go(func() {
			r, err := client.Stream(addr, newPrompt(fmt.Sprint(i), benchTokens))
			if err != nil || !r.Complete {
				b.Errorf("incomplete stream: %v %s", err, r.Refusal)
			}
		})
	}
	wg.Wait()
	return time.Since(begin)
}

// firstTokenTimes sends benchShortPrompts short prompts one after another and
// returns their times to first token, sorted.
func firstTokenTimes(b *testing.B, client *coltscaller.Client, addr netip.AddrPort) []time.Duration {
	b.Helper()
	times := make([]time.Duration, 0, benchShortPrompts)
	for i := range benchShortPrompts {
		r, err := client.Stream(addr, newPrompt(fmt.Sprint(i), 1))
		assert.NilError(b, err)
		times = append(times, r.FirstToken)
	}
	slices.Sort(times)
	return times
}

// percentile returns a percentile of sorted, non-empty times; percent is from 0 to 100.
func percentile(times []time.Duration, percent int) time.Duration {
	return times[(len(times)-1)*percent/100]
}

func BenchmarkEntryCost(b *testing.B) {
	// Limit the entry to one core, so that the benchmark measures the cost of a
	// token on a busy core and not the wake-ups of idle cores.
	b.Setenv("GOMAXPROCS", "1")
	c := startCluster(b, 1, 1, "--token-period", benchTokenPeriod.String(), "--prefill-per-second", "100000000")
	client := coltscaller.New(coltscaller.Config{Key: coltssystem.KeySeedPaper})
	directAddr, entryAddr := c.runners[0].awaitAddr(b, "address"), c.callerAddr(0)
	firstTokenTimes(b, client, entryAddr) // warm up connections and code
	var tokens, shortPrompts float64
	var streamCPU, shortCPU, directTime, entryTime time.Duration
	var addedP50, addedP99 time.Duration
	for b.Loop() {
		directTime += streamAll(b, client, directAddr)
		cpuBefore := c.entries[0].cpuTime(b)
		entryTime += streamAll(b, client, entryAddr)
		streamCPU += c.entries[0].cpuTime(b) - cpuBefore
		tokens += benchStreams * benchTokens
		directFirstTokens := firstTokenTimes(b, client, directAddr)
		cpuBefore = c.entries[0].cpuTime(b)
		entryFirstTokens := firstTokenTimes(b, client, entryAddr)
		shortCPU += c.entries[0].cpuTime(b) - cpuBefore
		shortPrompts += benchShortPrompts
		addedP50 += percentile(entryFirstTokens, 50) - percentile(directFirstTokens, 50)
		addedP99 += percentile(entryFirstTokens, 99) - percentile(directFirstTokens, 99)
	}
	n := float64(b.N)
	b.ReportMetric(tokens/streamCPU.Seconds(), "tokens/core-s")
	b.ReportMetric(entryTime.Seconds()/directTime.Seconds(), "stream-time-ratio")
	b.ReportMetric(shortCPU.Seconds()*1e6/shortPrompts, "cpu-µs/request")
	b.ReportMetric(float64(addedP50.Microseconds())/n, "added-p50-µs")
	b.ReportMetric(float64(addedP99.Microseconds())/n, "added-p99-µs")
}
