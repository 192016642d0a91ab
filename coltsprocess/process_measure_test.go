package coltsprocess

// Measurements of the control group. None of them asserts a time. Run them with
//
//	go test ./coltsprocess -run Measure -measure -v

import (
	"flag"
	"fmt"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"coltsfootstall/coltscaller"
	"coltsfootstall/coltssystem"
)

var measure = flag.Bool("measure", false, "run the measurements")

func skipUnlessMeasuring(t *testing.T) {
	t.Helper()
	if !*measure {
		t.Skip("a measurement; run it with -measure")
	}
}

// logTimes sorts times and logs their median, 99th percentile and maximum.
func logTimes(t *testing.T, label string, times []time.Duration) {
	t.Helper()
	slices.Sort(times)
	t.Logf("%s: median %v, 99th percentile %v, maximum %v, n=%d", label,
		percentile(times, 50), percentile(times, 99), times[len(times)-1], len(times))
}

// propagationTimes makes changes to the document by way of the given instances. It
// returns the time from the acceptance of each until it is in force on every entry.
func propagationTimes(t *testing.T, g *group, c *cluster, changes int, instances ...int) []time.Duration {
	t.Helper()
	var times []time.Duration
	for i := range changes {
		out := g.changePrice(400_000+len(instances)*1000+i, instances...)
		begin := time.Now()
		var revision int
		_, err := fmt.Sscanf(out[strings.Index(out, "as revision "):], "as revision %d", &revision)
		assert.NilError(t, err)
		for e := range c.entries {
			awaitRevision(t, c, e, revision)
		}
		times = append(times, time.Since(begin))
	}
	return times
}

func TestMeasureInForce(t *testing.T) {
	skipUnlessMeasuring(t)
	g := startGroup(t, 3, 3)
	c := g.startEntries(9, 0)
	logTimes(t, "from acceptance to in force on 9 entries", propagationTimes(t, g, c, 60))
	leader := g.awaitLeader(0, 1, 2)
	killed := g.others(leader)[0]
	g.controls[killed].kill()
	logTimes(t, "the same with one control instance killed", propagationTimes(t, g, c, 60, g.others(killed)...))
}

func TestMeasureLeaderGap(t *testing.T) {
	skipUnlessMeasuring(t)
	g := startGroup(t, 3, 3)
	c := g.startEntries(1, 0)
	client := coltscaller.New(coltscaller.Config{Key: coltssystem.KeySeedPaper})
	var times []time.Duration
	for i := range 20 {
		leader := g.awaitLeader(0, 1, 2)
		g.controls[leader].kill()
		begin := time.Now()
		assert.NilError(t, coltssystem.Await(conditionTimeout, "a booking runs", func() bool {
			r, err := client.Call(c.callerAddr(0), coltscaller.Call{
				Service: coltssystem.ServiceName, IdempotencyKey: fmt.Sprint("gap", i),
			})
			return err == nil && r.Outcome == "ran"
		}))
		times = append(times, time.Since(begin))
		g.start(leader)
	}
	logTimes(t, "from the leader's kill to the next completed booking", times)
}

func TestMeasureCommits(t *testing.T) {
	skipUnlessMeasuring(t)
	g := startGroup(t, 3, 3)
	c := g.startEntries(3, 0)
	leader := g.awaitLeader(0, 1, 2)
	leaderMetric := func(name string) float64 {
		operatorAddr := g.controls[leader].awaitAddr(t, "operators")
		return readMetric(t, operatorAddr, name)
	}
	client := coltscaller.New(coltscaller.Config{Key: coltssystem.KeySeedPaper})
	for _, callers := range []int{1, 8, 64} {
		commands, syncs, cpuBefore, begin := leaderMetric("commands"), leaderMetric("journal-syncs"),
			g.controls[leader].cpuTime(t), time.Now()
		const bookingsPerRound = 2000
		booked := make(chan int, callers)
		for caller := range callers {
			go func() {
				n := 0
				for i := range bookingsPerRound / callers {
					key := fmt.Sprintf("c%d-%d-%d", callers, caller, i)
					r, err := client.Call(c.callerAddr(caller%3), coltscaller.Call{Service: coltssystem.ServiceName, IdempotencyKey: key})
					if err == nil && r.Outcome == "ran" {
						n++
					}
				}
				booked <- n
			}()
		}
		total := 0
		for range callers {
			total += <-booked
		}
		elapsed := time.Since(begin)
		commands, syncs = leaderMetric("commands")-commands, leaderMetric("journal-syncs")-syncs
		t.Logf("%2d callers: %d bookings in %v, %.0f commands/s, %.2f commands/sync, leader CPU time per command %v",
			callers, total, elapsed.Round(time.Millisecond), commands/elapsed.Seconds(), commands/syncs,
			time.Duration(float64(g.controls[leader].cpuTime(t)-cpuBefore)/commands))
	}
}

func TestMeasureIdle(t *testing.T) {
	skipUnlessMeasuring(t)
	g := startGroup(t, 3, 3)
	c := g.startEntries(6, 6)
	leader := g.awaitLeader(0, 1, 2)
	const idleTime = 20 * time.Second
	processes := map[string]*process{
		"leader": g.controls[leader], "follower": g.controls[g.others(leader)[0]], "entry": c.entries[0],
	}
	cpuBefore := map[string]time.Duration{}
	for role, p := range processes {
		cpuBefore[role] = p.cpuTime(t)
	}
	time.Sleep(idleTime)
	for role, p := range processes {
		t.Logf("idle %s: %.2f%% of a core, %d MiB resident", role,
			100*(p.cpuTime(t)-cpuBefore[role]).Seconds()/idleTime.Seconds(), p.residentBytes(t)>>20)
	}
}

// residentBytes returns the resident set size of the process.
func (p *process) residentBytes(t testing.TB) int {
	t.Helper()
	statm, err := os.ReadFile(filepath.Join("/proc", fmt.Sprint(p.cmd.Process.Pid), "statm"))
	assert.NilError(t, err)
	var size, residentPages int
	_, err = fmt.Sscan(string(statm), &size, &residentPages)
	assert.NilError(t, err)
	return residentPages * os.Getpagesize()
}
