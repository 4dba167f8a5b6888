package bbport

import (
	"context"
	"fmt"
	"io"
	"runtime/debug"

	"github.com/sirupsen/logrus"

	bbdoor "bluebellport.example/bluebellport/door"
	"bluebellport.example/platform"
)

// memoryPart is the part of the instance's memory that the runtime may fill
// before it collects garbage at any cost.
const memoryPart = 0.7

// Native runs an instance on the platform, whose settings file tells it all,
// until ctx ends.
func Native(ctx context.Context, logs io.Writer) error {
	log := logrus.New()
	log.SetOutput(logs)
	log.SetFormatter(&logrus.JSONFormatter{})
	set, bad, err := bbplatform.ReadSettings()
	for _, line := range bad {
		log.WithField("event", "settings").Warn(line)
	}
	if err != nil {
		return fmt.Errorf("settings: %w", err)
	}
	debug.SetMemoryLimit(int64(float64(set.MemoryMB) * memoryPart * (1 << 20)))
	return bbdoor.Serve(ctx, set, log.WithField("instance", set.Instance))
}
