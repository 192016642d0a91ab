package coltsprocess

// Measurements of the group; none of them asserts a time.
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

// logTimes logs the median and the 99th percentile of some times.
func logTimes(t *testing.T, what string, times []time.Duration) {
	t.Helper()
	slices.Sort(times)
	t.Logf("%s: median %v, 99th percentile %v, longest %v, of %d", what,
		percentile(times, 50), percentile(times, 99), times[len(times)-1], len(times))
}

// inForce accepts changes and returns the times from acceptance to in force on
// every entry.
func inForce(t *testing.T, g *group, c *cluster, changes int, among ...int) []time.Duration {
	t.Helper()
	var times []time.Duration
	for i := range changes {
		out := g.change(400_000+len(among)*1000+i, among...)
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
	logTimes(t, "in force on 9 entries after acceptance", inForce(t, g, c, 60))
	leader := g.leader(0, 1, 2)
	dead := g.others(leader)[0]
	g.controls[dead].kill()
	logTimes(t, "the same with one control instance dead", inForce(t, g, c, 60, g.others(dead)...))
}

func TestMeasureLeaderGap(t *testing.T) {
	skipUnlessMeasuring(t)
	g := startGroup(t, 3, 3)
	c := g.startEntries(1, 0)
	client := coltscaller.New(coltscaller.Config{Key: coltssystem.KeySeedPaper})
	var times []time.Duration
	for i := range 20 {
		leader := g.leader(0, 1, 2)
		g.controls[leader].kill()
		begin := time.Now()
		assert.NilError(t, coltssystem.Await(conditionTimeout, "a booking runs", func() bool {
			r, err := client.Call(c.callers(0), coltscaller.Call{Service: coltssystem.ServiceName, Key: fmt.Sprint("gap", i)})
			return err == nil && r.Outcome == "ran"
		}))
		times = append(times, time.Since(begin))
		g.start(leader)
	}
	logTimes(t, "from the kill of the leader to the next booking done", times)
}

func TestMeasureCommits(t *testing.T) {
	skipUnlessMeasuring(t)
	g := startGroup(t, 3, 3)
	c := g.startEntries(3, 0)
	leader := g.leader(0, 1, 2)
	vars := func(name string) float64 {
		operators := g.controls[leader].addr(t, "operators")
		return metricOf(t, operators, name)
	}
	client := coltscaller.New(coltscaller.Config{Key: coltssystem.KeySeedPaper})
	for _, callers := range []int{1, 8, 64} {
		commands, syncs, cpu, begin := vars("commands"), vars("journal-syncs"), g.controls[leader].cpu(t), time.Now()
		const perRun = 2000
		done := make(chan int, callers)
		for k := range callers {
			go func() {
				n := 0
				for i := range perRun / callers {
					key := fmt.Sprintf("c%d-%d-%d", callers, k, i)
					r, err := client.Call(c.callers(k%3), coltscaller.Call{Service: coltssystem.ServiceName, Key: key})
					if err == nil && r.Outcome == "ran" {
						n++
					}
				}
				done <- n
			}()
		}
		booked := 0
		for range callers {
			booked += <-done
		}
		took := time.Since(begin)
		commands, syncs = vars("commands")-commands, vars("journal-syncs")-syncs
		t.Logf("%2d callers: %d bookings in %v, %.0f commands a second, %.2f commands a sync, leader's processor time per command %v",
			callers, booked, took.Round(time.Millisecond), commands/took.Seconds(), commands/syncs,
			time.Duration(float64(g.controls[leader].cpu(t)-cpu)/commands))
	}
}

func TestMeasureIdle(t *testing.T) {
	skipUnlessMeasuring(t)
	g := startGroup(t, 3, 3)
	c := g.startEntries(6, 6)
	leader := g.leader(0, 1, 2)
	const span = 20 * time.Second
	watched := map[string]*process{"leader": g.controls[leader], "follower": g.controls[g.others(leader)[0]], "entry": c.entries[0]}
	before := map[string]time.Duration{}
	for what, p := range watched {
		before[what] = p.cpu(t)
	}
	time.Sleep(span)
	for what, p := range watched {
		t.Logf("idle %s: %.2f%% of a core, %d MB resident", what,
			100*(p.cpu(t)-before[what]).Seconds()/span.Seconds(), p.resident(t)>>20)
	}
}

// resident returns the memory that a process holds.
func (p *process) resident(t testing.TB) int {
	t.Helper()
	text, err := os.ReadFile(filepath.Join("/proc", fmt.Sprint(p.cmd.Process.Pid), "statm"))
	assert.NilError(t, err)
	var size, pages int
	_, err = fmt.Sscan(string(text), &size, &pages)
	assert.NilError(t, err)
	return pages * os.Getpagesize()
}
