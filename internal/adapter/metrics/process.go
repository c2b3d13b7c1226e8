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

// ProcessHandler serves the measures of the process and runtime alone.
func ProcessHandler() http.Handler { return handlerOf(newRegistry()) }
