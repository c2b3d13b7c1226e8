package site_test

import (
	"context"
	"fmt"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/loomgrade/loomgrade/internal/app/siteview"
	"github.com/loomgrade/loomgrade/internal/core/sitestate"
	"github.com/loomgrade/loomgrade/platform"
)

// BenchmarkRegistration measures the registration of a fleet's replicas: each sends its first
// heartbeat to the members in turn until one accepts it, while many processes watch.
func BenchmarkRegistration(b *testing.B) {
	for b.Loop() {
		registerFleet(b, 4000, 60)
	}
}

func registerFleet(b *testing.B, replicas, watchers int) {
	s := newSite(b, 5, 0)
	for _, p := range s.controls {
		s.startControl(p, true)
	}
	s.callControl(http.MethodPut, "/loomgrade/config", s.configuration(1))
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	var watching sync.WaitGroup
	for i := range watchers {
		watcher := siteview.New(siteview.Config{
			Seeds: s.seeds, Wire: wireOptions(fmt.Sprint("watcher-", i)), Decode: platform.Dialect{}.DecodeConfiguration,
			Interest: sitestate.InterestRouting, Changed: func(*siteview.View) {}, Logger: discardLogger(),
		})
		watching.Go(func() { _ = watcher.Run(ctx) })
	}
	start := time.Now()
	var failed atomic.Int64
	var group sync.WaitGroup
	client := &http.Client{Timeout: time.Second, Transport: &http.Transport{MaxIdleConnsPerHost: 200, MaxConnsPerHost: 400}}
	for i := range replicas {
		group.Go(func() {
			body := fmt.Sprintf(`{"backend":"%s","address":"10.%d.%d.%d:8080","zone":"z","version":"v1","slots":6,"state":"ready","warmupLeftMs":0,"stage":"mixed","models":[{"name":"%s","version":1,"adapters":[]}],"sequence":1}`,
				lm, i>>16, i>>8&255, i&255, model)
			for n := i; ; n++ {
				url := s.controls[n%len(s.controls)].http.URL
				request, _ := http.NewRequest(http.MethodPut, fmt.Sprintf("%s/loomgrade/replicas/i-%d", url, i), strings.NewReader(body))
				response, err := client.Do(request)
				if err == nil {
					_ = response.Body.Close()
					if response.StatusCode == http.StatusOK {
						return
					}
				}
				failed.Add(1)
			}
		})
	}
	group.Wait()
	b.ReportMetric(float64(time.Since(start).Milliseconds()), "ms-to-register")
	b.ReportMetric(float64(failed.Load()), "failed-calls")
	cancel()
	watching.Wait()
	s.close()
}
