package metrics

import (
	"net/http"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/collectors"
	"github.com/prometheus/client_golang/prometheus/promhttp"
)

const namespace = "loomgrade"

// newRegistry makes a registry with the measures of the process and runtime.
func newRegistry() *prometheus.Registry {
	registry := prometheus.NewRegistry()
	registry.MustRegister(
		collectors.NewGoCollector(),
		collectors.NewProcessCollector(collectors.ProcessCollectorOpts{}),
	)
	return registry
}

func handlerOf(registry *prometheus.Registry) http.Handler {
	return promhttp.HandlerFor(registry, promhttp.HandlerOpts{MaxRequestsInFlight: maxScrapes})
}

// maxScrapes bounds the collections that run at a time.
const maxScrapes = 4

// The directions of counted bytes.
const (
	labelDirection    = "direction"
	directionSent     = "sent"
	directionReceived = "received"
)

// countBytes registers a pair of counters that are read when they are
// collected.
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
