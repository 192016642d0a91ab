package coltscrowd

// Guards against a control instance that runs out of memory or descriptors because many clients send
// unfinished requests, or don't read responses, and stay. The bounds are what the settings name.

import (
	"fmt"
	"net/http"
	"net/netip"
	"strings"
	"syscall"
	"testing"
	"time"
	"unsafe"

	"gotest.tools/v3/assert"
)

// Limits of the small control instance. smallMemory holds an idle instance and twice its body-bytes.
// smallDescriptors are its max-connections and those of its files and other addresses.
const (
	smallMemory      = 96 << 20
	smallDescriptors = 280
	smallSettings    = `"body-bytes":8388608,"max-connections":200`
	smallCrowd       = 300
	largeBody        = 1 << 20
)

// controlMemory and controlDescriptors are those of the machine of a control instance.
const (
	controlMemory      = 280 << 20
	controlDescriptors = 4096
)

// controlInstance is a control instance that leads a group of its own.
type controlInstance struct {
	t            *testing.T
	process      *process
	serviceAddr  netip.AddrPort
	operatorAddr netip.AddrPort
}

// startControl starts a control instance with further settings of the group control, which may be empty,
// and waits until it acknowledges a route table.
func startControl(t *testing.T, further string) *controlInstance {
	t.Helper()
	host := newSubnet()(11)
	c := &controlInstance{
		t: t, serviceAddr: netip.AddrPortFrom(host, servicePort), operatorAddr: netip.AddrPortFrom(host, operatorPort),
	}
	if further != "" {
		further = "," + further
	}
	c.process = startProcess(t, "control", fmt.Sprintf(`{"instance":"control-1","data-centre":"z",
"control":{"address":"%s:%d","operator-address":%q,"service-address":%[4]q,"data-folder":%[5]q,"seeds":[%[4]q],"founds":true,"order-wait":"0s"%[6]s}}`,
		host, controlPort, c.operatorAddr, c.serviceAddr, t.TempDir(), further))
	c.assertAcknowledged("/v1/config/put", routeTable)
	return c
}

// post sends a request to the service address and returns the status of the response, 0 for none.
func (c *controlInstance) post(path, body string) int {
	client := http.Client{Timeout: 5 * time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	resp, err := client.Post("http://"+c.serviceAddr.String()+path, "application/json", strings.NewReader(body))
	if err != nil || resp.Body.Close() != nil {
		return 0
	}
	return resp.StatusCode
}

// assertAcknowledged asserts that a request, sent again as its clients do, is acknowledged.
func (c *controlInstance) assertAcknowledged(path, body string) {
	c.t.Helper()
	eventually(c.t, path+" is acknowledged", func() bool {
		c.process.assertAlive()
		return c.post(path, body) == http.StatusOK
	})
}

// heartbeat is the report of an upstream.
const heartbeat = `{"service":"app","address":"127.0.0.1:1","zone":"z","version":"v1","slots":8,"state":"ready","coldLeftMs":0,"sequence":%d,"born":1}`

// assertServes asserts that reports, a config of 4 MB and the readiness check are served.
func (c *controlInstance) assertServes() {
	c.t.Helper()
	for n := range 20 {
		c.assertAcknowledged("/v1/instances/app-1/heartbeat", fmt.Sprintf(heartbeat, n+1))
	}
	c.assertAcknowledged("/v1/config/put", strings.Replace(routeTable, `"version":1`, `"version":2`, 1)+strings.Repeat(" ", 4<<20))
	eventually(c.t, "the readiness check is answered", func() bool {
		resp, err := http.Get("http://" + c.operatorAddr.String() + "/ready")
		return err == nil && resp.Body.Close() == nil && resp.StatusCode == http.StatusOK
	})
}

// assertWithin asserts that a process lives and has stayed within a memory and a number of descriptors.
func assertWithin(t *testing.T, p *process, memory, descriptors, highest int) {
	t.Helper()
	p.assertAlive()
	peak := p.peakMemory()
	t.Logf("peak memory %d MB, most descriptors %d", peak>>20, highest)
	assert.Check(t, peak < memory, "peak memory is %d MB", peak>>20)
	assert.Check(t, highest < descriptors, "%d descriptors were open", highest)
}

// limitDescriptors sets the number of descriptors that a process may have open.
func limitDescriptors(t *testing.T, p *process, n int) {
	t.Helper()
	prlimit := func(set, previous *syscall.Rlimit) {
		_, _, errno := syscall.Syscall6(syscall.SYS_PRLIMIT64, uintptr(p.cmd.Process.Pid), syscall.RLIMIT_NOFILE,
			uintptr(unsafe.Pointer(set)), uintptr(unsafe.Pointer(previous)), 0, 0)
		assert.Equal(t, errno, syscall.Errno(0))
	}
	var limit syscall.Rlimit
	prlimit(nil, &limit)
	limit.Cur = uint64(n) // a hard limit could not be raised again
	prlimit(&limit, nil)
}

// unfinished is a request that each connection of a crowd begins.
type unfinished struct {
	name          string
	header        string
	begin         string
	repeated      string
	repeatedBytes int
}

// head returns the head of the request, with further header lines. A head whose last lines are named X-
// does not end.
func (u unfinished) head(path string, lines ...string) string {
	head := "POST " + path + " HTTP/1.1\r\nHost: h\r\n" + strings.Join(append(lines, u.header), "\r\n")
	if strings.HasPrefix(u.header, "X-") {
		return head
	}
	return head + "\r\n\r\n"
}

// largeChunk returns a whole chunk of n bytes.
func largeChunk(n int) string { return fmt.Sprintf("%x\r\n%s\r\n", n, strings.Repeat("a", n)) }

// unfinishedRequests returns the kinds of unfinished requests.
func unfinishedRequests() []unfinished {
	const inChunks = "Transfer-Encoding: chunked"
	quarter := largeBody / 4
	return []unfinished{
		{"large chunks that stop before the last byte", inChunks, strings.Repeat(largeChunk(quarter), 3) + fmt.Sprintf("%x\r\n", quarter), "a", quarter - 1},
		{"large chunks that stop in the last chunk's line", inChunks, strings.Repeat(largeChunk(quarter), 4) + "0", "", 0},
		{"a large chunk that stops at once", inChunks, "f00000\r\n", "", 0},
		{"chunks of one byte that stop before the last byte", inChunks, strings.Repeat("1\r\na\r\n", 96<<10) + "1\r\n", "", 0},
		{"an endless chunk extension", inChunks, "1;", "a", largeBody},
		{"endless extensions of small chunks", inChunks, "", "1;aaaaaaaaaaaaaa\r\na\r\n", largeBody},
		{"endless trailers", inChunks, "1\r\na\r\n0\r\n", "A: b\r\n", largeBody},
		{"a body with a length that stops before the last byte", fmt.Sprintf("Content-Length: %d", largeBody), "", "a", largeBody - 1},
		{"a body with a length that stops at once", "Content-Length: 16000000", "", "", 0},
		{"a small body that stops before the last byte", "Content-Length: 60000", "", "a", 59999},
		{"a form that stops before the last byte", "Content-Type: multipart/form-data; boundary=b\r\nContent-Length: 1048576",
			"--b\r\nContent-Disposition: form-data; name=\"a\"; filename=\"a\"\r\n\r\n", "a", largeBody - 1024},
		{"a head that stops", "X-Long: " + strings.Repeat("a", 3<<10) + "\r\nX-Unfinished: a", "", "", 0},
		{"endless lines of a head", "X-Unfinished: a", "", "\r\nA: b", largeBody},
	}
}

// assertControlWithstands opens a crowd at an address of a small control instance.
func assertControlWithstands(t *testing.T, u unfinished, path string, addr func(c *controlInstance) netip.AddrPort) {
	t.Helper()
	c := startControl(t, smallSettings)
	highest := c.process.watchDescriptors()
	head := u.head(path)
	openCrowd(t, addr(c), smallCrowd, func() string { return head + u.begin }, u.repeated, u.repeatedBytes)
	c.assertServes()
	assertWithin(t, c.process, smallMemory, smallDescriptors, highest())
}

func TestControlUnfinishedRequests(t *testing.T) {
	service := func(c *controlInstance) netip.AddrPort { return c.serviceAddr }
	operator := func(c *controlInstance) netip.AddrPort { return c.operatorAddr }
	for _, u := range unfinishedRequests() {
		t.Run(u.name+" as a config", func(t *testing.T) { assertControlWithstands(t, u, "/v1/config/put", service) })
	}
	for _, u := range unfinishedRequests()[:1] {
		t.Run(u.name+" as a report", func(t *testing.T) {
			assertControlWithstands(t, u, "/v1/instances/app-2/heartbeat", service)
		})
		t.Run(u.name+" at the operators' address", func(t *testing.T) { assertControlWithstands(t, u, "/ready", operator) })
	}
}

func TestControlMachine(t *testing.T) {
	t.Run("unfinished bodies with the default settings", func(t *testing.T) {
		c := startControl(t, "")
		highest := c.process.watchDescriptors()
		u := unfinishedRequests()[0]
		openCrowd(t, c.serviceAddr, 600, func() string { return u.head("/v1/config/put") + u.begin }, u.repeated, u.repeatedBytes)
		c.assertServes()
		assertWithin(t, c.process, controlMemory, controlDescriptors, highest())
	})
	t.Run("configs that are asked for and not read", func(t *testing.T) {
		c := startControl(t, "")
		c.assertServes()
		highest := c.process.watchDescriptors()
		openCrowd(t, c.serviceAddr, 200, func() string { return "GET /v1/config/get HTTP/1.1\r\nHost: h\r\n\r\n" }, "", 0)
		c.assertServes()
		assertWithin(t, c.process, controlMemory, controlDescriptors, highest())
	})
}

// A server that ends when no descriptor is left is not reached again until it is restarted.
func TestControlWithoutDescriptors(t *testing.T) {
	t.Run("connections that send nothing", func(t *testing.T) {
		c := startControl(t, "")
		limitDescriptors(t, c.process, 100)
		openCrowd(t, c.serviceAddr, 200, func() string { return "" }, "", 0)
		c.assertAcknowledged("/v1/instances/app-1/heartbeat", fmt.Sprintf(heartbeat, 1))
		c.process.assertAlive()
	})
}
