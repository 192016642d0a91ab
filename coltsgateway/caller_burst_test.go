package coltsgateway

// Guards against ordinary requests that are refused because others found no memory at the same moment.

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/valyala/fasthttp"
	"gotest.tools/v3/assert"

	"coltsfootstall/coltsattempt"
	"coltsfootstall/coltsforward"
)

// sendRequests sends n requests at once, each on a connection of its own, and returns how many got each
// response.
func sendRequests(g *Gateway, n, bodyBytes int) map[string]int {
	var mu sync.Mutex
	var group sync.WaitGroup
	counts := map[string]int{}
	for range n {
		group.Go(func() {
			outcome := "no connection"
			defer func() {
				mu.Lock()
				defer mu.Unlock()
				counts[outcome]++
			}()
			nc, err := net.Dial("tcp", g.CallerAddr().String())
			if err != nil {
				return
			}
			defer func() { _ = nc.Close() }()
			_ = nc.SetDeadline(time.Now().Add(10 * time.Second))
			_, _ = fmt.Fprintf(nc, "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: %d\r\n\r\n%s", bodyBytes, strings.Repeat("a", bodyBytes))
			outcome = "no response"
			if resp, err := http.ReadResponse(bufio.NewReader(nc), nil); err == nil {
				outcome = resp.Status[:3]
			}
		})
	}
	group.Wait()
	return counts
}

func TestBurstBesideCrowd(t *testing.T) {
	t.Run("ordinary requests at once beside a crowd of small unfinished ones", func(t *testing.T) {
		const leastBudget = 1 // megabytes
		g := startTestGateway(t, leastBudget, Dialect{
			// Whole requests get the status of this error.
			ParseRequest: func(*fasthttp.RequestHeader) (coltsforward.InboundRequest, error) {
				return coltsforward.InboundRequest{}, errors.New("test")
			},
			BuildErrorResponse: func(*coltsattempt.RefusedError, time.Time) ErrorResponse { return ErrorResponse{Status: 422} },
			AppendErrorHeaders: func(dst []byte, _ ErrorResponse, _ string) []byte { return dst },
		})
		for range 900 {
			nc, err := net.Dial("tcp", g.CallerAddr().String())
			assert.NilError(t, err)
			defer func() { _ = nc.Close() }()
			_, _ = io.WriteString(nc, "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 5000\r\n\r\na")
		}
		time.Sleep(700 * time.Millisecond)
		assert.DeepEqual(t, sendRequests(g, 40, 60_000), map[string]int{"422": 40})
	})
}
