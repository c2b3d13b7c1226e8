package node

import (
	"net/http"
	"time"
)

// serve starts the listeners for peers and callers.
func (n *Node) serve() {
	n.servePeers()
	n.work.Go(func() { _ = n.server.Serve(n.config.PeerListener) })
	n.web = &http.Server{Handler: http.NotFoundHandler(), ReadHeaderTimeout: 5 * time.Second}
	n.work.Go(func() { _ = n.web.Serve(n.config.HTTPListener) })
}
