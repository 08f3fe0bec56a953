package app

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/sapphirehaven/sapphirehaven/internal/core/document"
	"github.com/sapphirehaven/sapphirehaven/internal/core/registry"
	"github.com/sapphirehaven/sapphirehaven/internal/standin"
)

const (
	// pauseGrace is the time after a 503 with Retry-After in which requests that are on
	// their way may still arrive, and maxArrivalsInPause the number that may arrive between
	// then and the end of the pause.
	pauseGrace         = 500 * time.Millisecond
	maxArrivalsInPause = 2
)

// pauseConfiguration returns a configuration whose class streams request bodies, so that an
// attempt can wait for its body after it was started.
func pauseConfiguration(shed []int) *registry.Configuration {
	config := gatewayConfigurationFor(document.Class{
		Deadline: document.Duration(20 * time.Second), Timeout: document.Duration(20 * time.Second),
		Upload: &document.Upload{MinBytesPerSecond: 1}, NotRunStatuses: shed,
	})
	config.Document.Services[0].Health.ShedStatuses = shed
	config.Document.Services[0].Limits.QueueLength = 64
	return config
}

// postSlowly sends the headers of a request at once and its body after a delay, and returns
// the status of the response, 0 if there was none.
func postSlowly(address string, id int, delay time.Duration) int {
	c, err := net.Dial("tcp", address)
	if err != nil {
		return 0
	}
	defer func() { _ = c.Close() }()
	_ = c.SetDeadline(time.Now().Add(20 * time.Second))
	_, _ = fmt.Fprintf(c, "POST /x/1 HTTP/1.1\r\nHost: a.example\r\nX-Id: slow-%d\r\nContent-Length: 4\r\n\r\nbo", id)
	time.Sleep(delay)
	_, _ = io.WriteString(c, "dy")
	res, err := http.ReadResponse(bufio.NewReader(c), nil)
	if err != nil {
		return 0
	}
	_ = res.Body.Close()
	return res.StatusCode
}

// withdrawnAttempts returns the number of attempts that a host withdrew.
func withdrawnAttempts(g *Gateway) int {
	var text strings.Builder
	g.ingress.Metrics().WritePrometheus(&text)
	for line := range strings.SplitSeq(text.String(), "\n") {
		name, value, _ := strings.Cut(line, " ")
		if strings.HasPrefix(name, "sapphirehaven_attempts_total") && strings.Contains(name, `"withdrawn"`) {
			n, _ := strconv.Atoi(value)
			return n
		}
	}
	return 0
}

// TestPausingTargetGetsFewRequests guards against requests that reach a target between half
// a second after its 503 with Retry-After and the end of that time, under load and with
// requests that were started before the 503 and wait for their body. The other target has to
// serve them, and the target has to get requests afterwards. The body of each 503 comes late.
// The slow requests use all slots of both targets; a third of them arrives while the target
// rejects and cannot be repeated, since its body has been read.
func TestPausingTargetGetsFewRequests(t *testing.T) {
	const slowRequests, pause = 12, 3 * time.Second
	pausing := standin.NewPausingTarget("X-Id", 2*time.Millisecond, 700*time.Millisecond)
	other := standin.NewPausingTarget("X-Id", 2*time.Millisecond, 0)
	fleet := startGatewayFleetFor(t, pauseConfiguration([]int{503}), 1, []http.Handler{pausing, other})
	g := fleet.gateways[0]
	fleet.send(5*time.Millisecond, 500*time.Millisecond)

	statuses := make([]int, slowRequests)
	var slow sync.WaitGroup
	for i := range slowRequests {
		bodyDelay := 1500 * time.Millisecond
		if i%3 == 0 {
			bodyDelay = 300 * time.Millisecond
		}
		slow.Go(func() { statuses[i] = postSlowly(g.settings.CallerAddress, i, bodyDelay) })
		time.Sleep(5 * time.Millisecond)
	}
	pausing.Pause(time.Second, "3")
	answers := fleet.send(50*time.Millisecond, pause+time.Second)
	slow.Wait()
	ended := time.Now()
	other.Pause(time.Second, "1")
	fleet.send(20*time.Millisecond, 500*time.Millisecond)

	arrivals, rejections := pausing.MaxArrivalsInPause(pauseGrace)
	t.Logf("%d requests were rejected, %d attempts withdrawn, at most %d requests arrived in a pause; answers %v", rejections, withdrawnAttempts(g), arrivals, answers)
	if arrivals > maxArrivalsInPause || rejections == 0 {
		t.Errorf("%d requests reached the target in a pause after %d rejections, allowed %d", arrivals, rejections, maxArrivalsInPause)
	}
	if withdrawnAttempts(g) == 0 {
		t.Error("no request was waiting when the pause began")
	}
	for i, status := range statuses {
		if status != http.StatusOK && i%3 != 0 {
			t.Errorf("slow request %d got status %d while the other target has free slots", i, status)
		}
	}
	for answer, n := range answers {
		if answer.status != http.StatusOK && (answer.problem != "urn:sapphirehaven:problem:not_run_shed" || n > rejections) {
			t.Errorf("%d requests got status %d (%s) while the other target has free slots", n, answer.status, answer.problem)
		}
	}
	if pausing.ArrivedSince(ended) == 0 {
		t.Error("the target got no requests after its pause although the other one paused")
	}
}

// TestAllTargetsPause guards against callers that wait for the end of a pause although it
// comes after their deadline, and against a pause that is kept only after a 503 that the
// configuration lists as a rejection.
func TestAllTargetsPause(t *testing.T) {
	for _, shed := range [][]int{{503}, nil} {
		t.Run(fmt.Sprintf("shed statuses %v", shed), func(t *testing.T) {
			t.Parallel()
			target := standin.NewPausingTarget("X-Id", time.Millisecond, 0)
			fleet := startGatewayFleetFor(t, pauseConfiguration(shed), 1, []http.Handler{target})
			g := fleet.gateways[0]
			fleet.send(5*time.Millisecond, 200*time.Millisecond)
			target.Pause(time.Hour, "7.5")
			fleet.postWithin(g, 500*time.Millisecond)
			for range 20 {
				start := time.Now()
				answer, retryAfter := fleet.postWithin(g, 500*time.Millisecond)
				if took := time.Since(start); answer.status != http.StatusServiceUnavailable || answer.problem != "urn:sapphirehaven:problem:targets_paused" || took > 300*time.Millisecond {
					t.Fatalf("%+v after %s", answer, took)
				}
				if seconds, err := strconv.ParseFloat(retryAfter, 64); err != nil || seconds < 6 || seconds > 7.5 {
					t.Fatalf("Retry-After is %q during a pause of 7.5 s", retryAfter)
				}
			}
			if status := g.Status().Services[0].Targets[0]; status.PauseSeconds == nil || *status.PauseSeconds > 7.5 {
				t.Errorf("the status %+v does not show the pause", status)
			}
			if arrivals, rejections := target.MaxArrivalsInPause(0); rejections != 1 || arrivals > 1 {
				t.Errorf("%d requests arrived after %d rejections", arrivals, rejections)
			}
		})
	}
}
