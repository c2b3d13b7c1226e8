package sitecontrol

import (
	"context"

	"github.com/loomgrade/loomgrade/internal/app/siteview"
	"github.com/loomgrade/loomgrade/internal/core/sitestate"
)

// Placer returns a function that requests a model's shard from the control group.
func Placer(watcher *siteview.Watcher) func(ctx context.Context, model string, regions []string) (sitestate.ShardNumber, error) {
	return func(ctx context.Context, model string, regions []string) (sitestate.ShardNumber, error) {
		var answer Answer
		err := watcher.Call(ctx, MethodCall, Request{Place: &PlaceModel{Model: model, Regions: regions}}, &answer)
		return answer.Shard, err
	}
}
