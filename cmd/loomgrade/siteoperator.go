package main

import (
	"context"
	"io"
	"time"

	"github.com/phuslu/log"

	"github.com/loomgrade/loomgrade/internal/adapter/tcpsocket"
	"github.com/loomgrade/loomgrade/internal/adapter/wire"
	"github.com/loomgrade/loomgrade/internal/app/jobsapi"
	"github.com/loomgrade/loomgrade/internal/app/sitecontrol"
	"github.com/loomgrade/loomgrade/internal/app/siteview"
	"github.com/loomgrade/loomgrade/internal/port"
	"github.com/loomgrade/loomgrade/platform"
)

// siteFlags are the flags of the commands that call site processes.
type siteFlags struct {
	Peer    []string      `env:"LOOMGRADE_PEERS" required:"" help:"Peer addresses (IP:port) of control processes of the site, tried in order."`
	Timeout time.Duration `default:"10s" help:"How long to try."`

	outputFlags `embed:""`
}

// siteClient calls the processes of a site.
type siteClient struct {
	watcher *siteview.Watcher
	jobs    *jobsapi.Client
	view    chan *siteview.View
}

// connect watches the site's control state and returns the first view. The returned
// context ends with the timeout.
func (f *siteFlags) connect() (*siteClient, *siteview.View, context.Context, context.CancelFunc, error) {
	ctx, cancel := context.WithTimeout(context.Background(), f.Timeout)
	options := wire.Options{ClusterID: siteCluster, Name: "operator", DialTimeout: peerDialTimeout, Dial: tcpsocket.Dial(peerIdleTimeout, "")}
	client := &siteClient{view: make(chan *siteview.View, 1)}
	client.watcher = siteview.New(siteview.Config{
		Seeds: f.Peer, Wire: options, Decode: platform.Dialect{}.DecodeConfiguration,
		Changed: client.setFirstView, Logger: &log.Logger{Level: log.PanicLevel, Writer: log.IOWriter{Writer: io.Discard}},
	})
	client.jobs = jobsapi.NewClient(jobsapi.Config{Wire: options, View: client.watcher.State, AssignShard: sitecontrol.Placer(client.watcher)})
	go func() { _ = client.watcher.Run(ctx) }()
	select {
	case view := <-client.view:
		return client, view, ctx, cancel, nil
	case <-ctx.Done():
		cancel()
		return nil, nil, nil, nil, port.NewError(port.NotRun, port.CodeUnavailable, "no control process in contact with a quorum responded")
	}
}

// setFirstView stores the first view and drops later ones.
func (c *siteClient) setFirstView(view *siteview.View) {
	select {
	case c.view <- view:
	default:
	}
}

// callControl calls the control group.
func (c *siteClient) callControl(ctx context.Context, request sitecontrol.Request) (sitecontrol.Answer, error) {
	var answer sitecontrol.Answer
	err := c.watcher.Call(ctx, sitecontrol.MethodCall, request, &answer)
	return answer, err
}
