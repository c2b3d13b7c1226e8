package metrics

import (
	"bytes"
	"net/http"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/collectors"
	"github.com/prometheus/client_golang/prometheus/promhttp"
)

const namespace = "loomgrade"

// newRegistry returns a registry with the process and runtime metrics.
func newRegistry() *prometheus.Registry {
	registry := prometheus.NewRegistry()
	registry.MustRegister(
		collectors.NewGoCollector(),
		collectors.NewProcessCollector(collectors.ProcessCollectorOpts{}),
	)
	return registry
}

// handlerOf serves a registry. A scrape ends before its answer is written, so that clients that do not
// read do not keep others from scraping.
func handlerOf(registry *prometheus.Registry) http.Handler {
	scrape := promhttp.HandlerFor(registry, promhttp.HandlerOpts{MaxRequestsInFlight: maxScrapes})
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		buffered := bufferedWriter{header: w.Header(), status: http.StatusOK}
		scrape.ServeHTTP(&buffered, r)
		w.WriteHeader(buffered.status)
		_, _ = w.Write(buffered.body.Bytes()) // fails if the client has gone
	})
}

// bufferedWriter is a response that is not written yet.
type bufferedWriter struct {
	header http.Header
	status int
	body   bytes.Buffer
}

// Header implements http.ResponseWriter.
func (b *bufferedWriter) Header() http.Header { return b.header }

// WriteHeader implements http.ResponseWriter.
func (b *bufferedWriter) WriteHeader(status int) { b.status = status }

// Write implements http.ResponseWriter.
func (b *bufferedWriter) Write(data []byte) (int, error) { return b.body.Write(data) }

// maxScrapes limits concurrent collections.
const maxScrapes = 4

// Label direction and its values.
const (
	labelDirection    = "direction"
	directionSent     = "sent"
	directionReceived = "received"
)

// countBytes registers two counters whose values are read at collection.
func countBytes(registry *prometheus.Registry, name, help string, read func() (sent, received uint64)) {
	pick := map[string]func() uint64{
		directionSent:     func() uint64 { sent, _ := read(); return sent },
		directionReceived: func() uint64 { _, received := read(); return received },
	}
	for direction, value := range pick {
		options := prometheus.CounterOpts{
			Namespace: namespace, Name: name, Help: help,
			ConstLabels: prometheus.Labels{labelDirection: direction},
		}
		registry.MustRegister(prometheus.NewCounterFunc(options, func() float64 { return float64(value()) }))
	}
}
