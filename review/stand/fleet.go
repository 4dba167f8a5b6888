package main

import (
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"
)

// Instance is one process of the project's router, started with the command of the
// deploy file.
type Instance struct {
	Name, Zone             string
	Frontend, Ready, Peers string
	dir, conf              string
	env                    []string
	held                   []net.Listener
	mu                     sync.Mutex
	cmd                    *exec.Cmd
	done                   chan struct{}
}

// newInstance prepares an instance: its addresses and a folder for its settings and log.
func newInstance(dir, name, zone string) (*Instance, error) {
	in := &Instance{Name: name, Zone: zone, dir: dir}
	for _, to := range []*string{&in.Frontend, &in.Ready, &in.Peers} {
		ln, err := net.Listen("tcp4", "127.0.0.1:0") // held until the process starts
		if err != nil {
			return nil, err
		}
		*to = ln.Addr().String()
		in.held = append(in.held, ln)
	}
	in.conf = filepath.Join(dir, name+".conf")
	in.env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + dir, "BLUEBELLPORT_SETTINGS=" + in.conf}
	return in, nil
}

// settings writes the settings file, with the figures of the small sites.
func (in *Instance) settings(store string, seeds []string, first bool) error {
	lines := []string{
		"node-name=" + in.Name, "role=router", "machine-class=edge", "serves=edge,control_plane", "ip=127.0.0.1", "zone=" + in.Zone, "region=is-sudvestur",
		"listen-addresses.frontend=" + in.Frontend, "listen-addresses.ready=" + in.Ready, "listen-addresses.control-plane=" + in.Peers,
		"seed-nodes=" + strings.Join(seeds, ","), fmt.Sprintf("first-start=%v", first), "limits.cpu-share=0.4", "limits.cores=1",
		"limits.memory-mb=284", "limits.file-descriptors=4100", "limits.link-mbps=1000.0", "limits.disk-mb=0", "discovery=platform", "entry-point=virtual_ip",
		"heartbeat-interval-ms=1200", "contracts=base,drain,config,cost,retry,recover,engine,stream,tenants,platform",
		"bounds.contact-ms=3000", "bounds.drain-timeout-ms=2000", "bounds.grace-period-s=8", "bounds.config-apply-ms=2000", "bounds.retry-budget-ratio=0.2",
		"bounds.budget-window-s=10", "bounds.retry-budget-extra=52", "bounds.recovery-s=12", "bounds.settle_ms=1500",
		"platform.address=" + store, "platform.form=kv", "platform.writes-per-s=400", "platform.reads-per-s=2000", "platform.history-s=20",
		"platform.value-bytes=1048576", "platform.ttl-min-ms=1000",
	}
	return os.WriteFile(in.conf, []byte(strings.Join(lines, "\n")+"\n"), 0o644)
}

// start starts the process. Its log is appended to NAME.log in the folder.
func (in *Instance) start() error {
	log, err := os.OpenFile(filepath.Join(in.dir, in.Name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o644)
	if err != nil {
		return err
	}
	defer func() { _ = log.Close() }()
	cmd := exec.Command(filepath.Join(os.Getenv("REVIEW_ROOT"), "target", "bluebellport"), "native")
	cmd.Dir, cmd.Env, cmd.Stdout, cmd.Stderr = os.Getenv("REVIEW_ROOT"), in.env, log, log
	for _, ln := range in.held {
		_ = ln.Close()
	}
	in.held = nil
	if err := cmd.Start(); err != nil {
		return err
	}
	done := make(chan struct{})
	in.mu.Lock()
	in.cmd, in.done = cmd, done
	in.mu.Unlock()
	go func() {
		_ = cmd.Wait()
		close(done)
	}()
	return nil
}

// signal sends the process a signal.
func (in *Instance) signal(sig syscall.Signal) {
	in.mu.Lock()
	defer in.mu.Unlock()
	if in.cmd != nil {
		_ = in.cmd.Process.Signal(sig)
	}
}

// kill kills the process and waits for its end.
func (in *Instance) kill() {
	in.signal(syscall.SIGKILL)
	in.mu.Lock()
	done := in.done
	in.mu.Unlock()
	if done != nil {
		<-done
	}
}

// awaitReady waits until the instance says that it is ready.
func (in *Instance) awaitReady(timeout time.Duration) error {
	client := http.Client{Timeout: time.Second}
	for end := time.Now().Add(timeout); time.Now().Before(end); time.Sleep(100 * time.Millisecond) {
		resp, err := client.Get("http://" + in.Ready + "/readiness")
		if err == nil {
			_ = resp.Body.Close()
			if resp.StatusCode == http.StatusOK {
				return nil
			}
		}
	}
	return fmt.Errorf("%s is not ready", in.Name)
}
