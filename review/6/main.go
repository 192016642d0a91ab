//go:build review

// Case 6: a control instance is frozen while the operator's order to end an evacuation reaches it. The
// operator gets no answer, sends the same order to another instance, which confirms it, and later orders a
// new evacuation, which is confirmed too. Then the frozen instance wakes.
package main

import (
	"fmt"
	"net/http"
	"os"
	"sync"
	"syscall"
	"time"

	"coltsfootstall/review/rig2"
)

const (
	controls = 5
	gateways = 2
	service  = "licence-app"
	host     = "desk.example"

	// Bounds of the site trinacria-lic-grown.
	evacuate = 5000 * time.Millisecond
	contact  = 4000 * time.Millisecond
	ack      = 5000 * time.Millisecond

	// frozenFor is within the 3 to 6.1 s of the site's days.
	frozenFor = 3 * time.Second
	// watched is how long after the bounds arrivals are counted.
	watched = 8 * time.Second
	pace    = 50 * time.Millisecond
)

var zones = []string{"palermo", "catania", "siracusa"}

// arrivals are the requests that runners have begun to run.
type arrivals struct {
	mu   sync.Mutex
	list []arrival
}

type arrival struct {
	at   time.Time
	zone string
	id   string
}

func (a *arrivals) add(zone, id string) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.list = append(a.list, arrival{time.Now(), zone, id})
}

// between returns the arrivals in a zone in a span of time.
func (a *arrivals) between(zone string, from, to time.Time) []arrival {
	a.mu.Lock()
	defer a.mu.Unlock()
	var found []arrival
	for _, x := range a.list {
		if x.zone == zone && x.at.After(from) && x.at.Before(to) {
			found = append(found, x)
		}
	}
	return found
}

func config() []byte {
	return []byte(fmt.Sprintf(`{"version":3,"routes":[{"name":"r-read","host":%q,"pathPrefix":"/read/","kind":"safe",`+
		`"timeoutMs":1500,"goalMs":300,"priority":2,"service":%q,"maxAttempts":2,"public":true,"sticky":false,"resumable":false}],`+
		`"services":[{"name":%q,"healthPath":"/health","maxConns":560,"protocol":"h1","tls":false}],`+
		`"limits":{"maxHeaderBytes":16384,"maxBodyBytes":4194304,"headerTimeoutMs":3000,"idleTimeoutMs":15000},`+
		`"tenants":[{"name":"t1","apiKeys":["jnbanfqasnmgkcuyj8pj"],"priority":1}]}`, host, service, service))
}

// consume sends one request after another to a gateway until stop is closed.
func consume(r *rig2.Rig, gateway int, stop chan struct{}) {
	client := &http.Client{Timeout: 1500 * time.Millisecond}
	for i := 0; ; i++ {
		select {
		case <-stop:
			return
		case <-time.After(pace):
		}
		id := fmt.Sprintf("%d-%06d", gateway, i)
		q, _ := http.NewRequest(http.MethodGet, "http://"+r.Front(gateway)+"/read/stock", nil)
		q.Host = host
		q.Header.Set("X-Coltsfootstall-Request-Id", id)
		q.Header.Set("X-Coltsfootstall-Deadline-Ms", "1500")
		p, err := client.Do(q)
		if err != nil {
			r.Note("consumer of front-%d: request %s: %v", gateway, id, err)
			continue
		}
		p.Body.Close()
		if p.StatusCode != http.StatusOK {
			r.Note("consumer of front-%d: request %s: %d", gateway, id, p.StatusCode)
		}
	}
}

func run(r *rig2.Rig) (bool, error) {
	for i := range controls {
		if err := r.StartControl(i, zones[i%len(zones)], true); err != nil {
			return false, err
		}
	}
	for i := range gateways {
		if err := r.StartGateway(i, zones[i]); err != nil {
			return false, err
		}
	}
	seen := &arrivals{}
	var runners []*rig2.Runner
	for i, zone := range zones {
		n := &rig2.Runner{ID: "i-" + zone, Service: service, Zone: zone, Addr: r.RunnerIP(i) + ":0", Slots: 6}
		n.Serve = func(w http.ResponseWriter, q *http.Request) {
			seen.add(zone, q.Header.Get("X-Coltsfootstall-Request-Id"))
			w.Header().Set("X-Coltsfootstall-Server-Seal", "3e1b.07."+n.ID)
			fmt.Fprint(w, "stock")
		}
		if err := r.StartRunner(n); err != nil {
			return false, err
		}
		runners = append(runners, n)
	}
	nodes := r.Services()
	if _, err := r.Operator("config 3", http.MethodPost, "/v1/config/put", config(), nodes, 15*time.Second); err != nil {
		return false, err
	}
	for i := range gateways {
		if err := r.AwaitReady(i, 10*time.Second); err != nil {
			return false, err
		}
	}
	stop := make(chan struct{})
	defer close(stop)
	for i := range gateways {
		go consume(r, i, stop)
	}
	time.Sleep(contact)
	const start, end = "/v1/evacuations/palermo/start", "/v1/evacuations/palermo/end"
	if _, err := r.Operator("start of evacuation 1", http.MethodPost, start, nil, nodes, ack); err != nil {
		return false, err
	}
	time.Sleep(evacuate)
	from := time.Now()
	time.Sleep(time.Second)
	if early := seen.between("palermo", from, time.Now()); len(early) > 0 {
		r.Note("%d requests reached palermo in evacuation 1, before the disruption", len(early))
		return true, nil
	}
	// A control instance that does not lead, and the others.
	leader := runners[0].Leader()
	frozen := 0
	for nodes[frozen] == leader {
		frozen++
	}
	order := []string{nodes[frozen]}
	for i, n := range nodes {
		if i != frozen {
			order = append(order, n)
		}
	}
	name := fmt.Sprintf("core-%d", frozen)
	r.Note("the leader is %s", leader)
	thawed := make(chan time.Time, 1)
	if r.Trouble {
		if err := r.Signal(name, syscall.SIGSTOP); err != nil {
			return false, err
		}
		time.AfterFunc(frozenFor, func() {
			_ = r.Signal(name, syscall.SIGCONT)
			thawed <- time.Now()
		})
	} else {
		thawed <- time.Now()
	}
	if _, err := r.Operator("end of evacuation 1", http.MethodPost, end, nil, order, ack); err != nil {
		return false, err
	}
	if _, err := r.Operator("start of evacuation 2", http.MethodPost, start, nil, order[1:], ack); err != nil {
		return false, err
	}
	due := time.Now().Add(evacuate)
	r.Note("evacuation 2 is confirmed; nothing may reach palermo from %.3f s on", r.Seconds()+evacuate.Seconds())
	// All machines are in touch again contactMs after the last disruption of the core.
	if calm := (<-thawed).Add(contact); calm.After(due) {
		due = calm
	}
	time.Sleep(time.Until(due))
	r.Note("arrivals in palermo count from now on; nobody has taken evacuation 2 back")
	time.Sleep(watched)
	late, other := seen.between("palermo", due, time.Now()), seen.between("catania", due, time.Now())
	r.Note("%d requests reached palermo, %d reached catania", len(late), len(other))
	for _, a := range late[:min(5, len(late))] {
		r.Note("request %s ran in palermo, %.3f s after the bound", a.id, a.at.Sub(due).Seconds())
	}
	if len(other) == 0 {
		return false, fmt.Errorf("no request reached the other zones")
	}
	return len(late) > 0, nil
}

func main() {
	r, err := rig2.New(os.Args[1], controls, rig2.Bounds{
		LeaseMs: 3000, VersionMs: 10000, RetryRatio: 0.2, RetrySlack: 208, RetryWindowS: 10, GraceS: 8,
		EvacuateMs: 5000, ColdExcess: 1.5, ColdSlack: 5, FrontMemoryMb: 184, CoreMemoryMb: 280,
	})
	if err != nil {
		fmt.Println(err)
		os.Exit(rig2.ExitUnusable)
	}
	r.Run(100*time.Second, func() (bool, error) { return run(r) })
}
