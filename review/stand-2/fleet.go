package main

import (
	"encoding/json"
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

// record is the record of a case: what was sent, answered, run and done.
type record struct {
	mu    sync.Mutex
	out   *os.File
	start time.Time
}

func newRecord(path string) (*record, error) {
	out, err := os.Create(path)
	return &record{out: out, start: time.Now()}, err
}

func (r *record) line(kind, format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	fmt.Fprintf(r.out, "%8.3f %-7s %s\n", time.Since(r.start).Seconds(), kind, fmt.Sprintf(format, args...))
}

// say writes a line to the record and to standard output.
func (r *record) say(format string, args ...any) {
	r.line("note", format, args...)
	fmt.Printf("%s\n", fmt.Sprintf(format, args...))
}

// instance is one process of the system.
type instance struct {
	name, zone, ip       string
	front, ready         string
	conf, log            string
	cmd                  *exec.Cmd
	exited               chan struct{}
	settings             map[string]string
	order                []string
	rec                  *record
	control, storeAddres string
}

// ports are the ports of all machines of a case.
type ports struct{ front, ready, control int }

// Ports are looked for from a place that differs between scripts that run side by side, below
// those that systems give to outgoing connections.
const (
	firstPort  = 11_000
	portRange  = 10_000
	portsApart = 64
)

// freePorts returns ports that are free on addresses.
func freePorts(ips []string, n int) ([]int, error) {
	var out []int
	for p := firstPort + os.Getpid()*portsApart%portRange; p < firstPort+2*portRange && len(out) < n; p++ {
		ok := true
		for _, ip := range ips {
			ln, err := net.Listen("tcp4", fmt.Sprintf("%s:%d", ip, p))
			if err != nil {
				ok = false
				break
			}
			_ = ln.Close()
		}
		if ok {
			out = append(out, p)
		}
	}
	if len(out) < n {
		return nil, fmt.Errorf("no %d free ports", n)
	}
	return out, nil
}

var zones = []string{"sudvestur-a", "sudvestur-b", "sudvestur-c", "sudvestur-d"}

// bounds are those of the site hraunberg-teljari.
var bounds = [][2]string{
	{"seed-lag-s", "3"}, {"address-reuse-s", "2"}, {"contact-ms", "3000"}, {"ack-timeout-ms", "4000"}, {"catch-up-s", "4"}, {"drain-timeout-ms", "2000"},
	{"grace-period-s", "8"}, {"loss-slack-ms", "200"}, {"config-apply-ms", "2000"}, {"rollback-slack-ms", "250"}, {"max-skew-ms", "5000"},
	{"revocation-strict", "false"}, {"revocation-ms", "5000"}, {"retry-budget-ratio", "0.2"}, {"budget-window-s", "10"}, {"retry-budget-extra", "52"},
	{"recovery-s", "12"}, {"pass-ms", "120"}, {"reuse-window-s", "5.9"}, {"settle_ms", "1500"},
}

// newInstance returns an instance that has not been started.
func newInstance(rec *record, dir string, i int, zone string, p ports, seeds []string, storeAddress string) *instance {
	ip := fmt.Sprintf("127.0.%d.1", i+1)
	at := func(port int) string { return fmt.Sprintf("%s:%d", ip, port) }
	in := &instance{
		name: fmt.Sprintf("edge-%s-%d", zone, i+1), zone: zone, ip: ip, front: at(p.front), ready: at(p.ready), control: at(p.control),
		settings: map[string]string{}, rec: rec, storeAddres: storeAddress,
	}
	in.conf, in.log = filepath.Join(dir, in.name+".conf"), filepath.Join(dir, in.name+".log")
	set := in.set
	set("node-name", in.name)
	set("role", "router")
	set("machine-class", "edge")
	set("serves", "edge,control_plane")
	set("ip", ip)
	set("zone", zone)
	set("region", "is-sudvestur")
	for _, z := range zones {
		set("zones."+z, "is-sudvestur")
	}
	set("listen-addresses.frontend", in.front)
	set("listen-addresses.ready", in.ready)
	set("listen-addresses.control-plane", in.control)
	set("seed-nodes", strings.Join(seeds, ","))
	set("first-start", "true")
	set("limits.cpu-share", "0.4")
	set("limits.cores", "1")
	set("limits.memory-mb", "284")
	set("limits.file-descriptors", "4100")
	set("limits.link-mbps", "1000.0")
	set("limits.disk-mb", "0")
	set("discovery", "platform")
	set("entry-point", "virtual_ip")
	set("heartbeat-interval-ms", "1200")
	set("contracts", "base,drain,config,cost,retry,recover,engine,stream,tenants,platform")
	set("fault-tolerance.machines", "2")
	set("fault-tolerance.zones", "1")
	set("fault-tolerance.regions", "0")
	for _, b := range bounds {
		set("bounds."+b[0], b[1])
	}
	set("platform.address", storeAddress)
	set("platform.form", "kv")
	set("platform.writes-per-s", "400")
	set("platform.reads-per-s", "2000")
	set("platform.history-s", "20")
	set("platform.value-bytes", "1048576")
	set("platform.ttl-min-ms", "1000")
	return in
}

// set sets one setting; writeSettings writes them.
func (in *instance) set(key, value string) {
	if _, ok := in.settings[key]; !ok {
		in.order = append(in.order, key)
	}
	in.settings[key] = value
}

func (in *instance) writeSettings() error {
	var b strings.Builder
	for _, key := range in.order {
		fmt.Fprintf(&b, "%s=%s\n", key, in.settings[key])
	}
	tmp := in.conf + ".new"
	if err := os.WriteFile(tmp, []byte(b.String()), 0o644); err != nil {
		return err
	}
	return os.Rename(tmp, in.conf)
}

// start starts the process with the command of the deploy file.
func (in *instance) start() error {
	if err := in.writeSettings(); err != nil {
		return err
	}
	out, err := os.OpenFile(in.log, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o644)
	if err != nil {
		return err
	}
	in.cmd = exec.Command("target/bluebellport", "native")
	in.cmd.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "BLUEBELLPORT_SETTINGS=" + in.conf}
	in.cmd.Stdout, in.cmd.Stderr = out, out
	in.cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := in.cmd.Start(); err != nil {
		return err
	}
	in.rec.line("process", "%s started", in.name)
	in.exited = make(chan struct{})
	cmd, exited := in.cmd, in.exited
	go func() {
		err := cmd.Wait()
		_ = out.Close()
		in.rec.line("process", "%s ended: %v", in.name, err)
		close(exited)
	}()
	return nil
}

// signal sends a signal to the process.
func (in *instance) signal(sig syscall.Signal) {
	in.rec.line("process", "%s gets %v", in.name, sig)
	_ = in.cmd.Process.Signal(sig)
}

// kill ends the process and waits until it is gone.
func (in *instance) kill() {
	if in.cmd == nil {
		return
	}
	_ = in.cmd.Process.Kill()
	<-in.exited
}

// isReady asks for readiness as the platform does.
func (in *instance) isReady() bool {
	client := http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	resp, err := client.Get("http://" + in.ready + "/readiness")
	if err != nil {
		return false
	}
	_ = resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}

// awaitReady waits until all instances are ready.
func awaitReady(timeout time.Duration, instances ...*instance) error {
	for until := time.Now().Add(timeout); ; time.Sleep(50 * time.Millisecond) {
		ready := 0
		for _, in := range instances {
			if in.isReady() {
				ready++
			}
		}
		if ready == len(instances) {
			return nil
		}
		if time.Now().After(until) {
			return fmt.Errorf("%d of %d instances ready", ready, len(instances))
		}
	}
}

// world is a small deployment.
type world struct {
	rec       *record
	dir       string
	store     *store
	servers   []*server
	instances []*instance
	stops     []chan struct{}
	p         ports
}

// newWorld starts a store and servers, and prepares instances, one in each zone.
func newWorld(rec *record, instances int, services map[string][]string) (*world, error) {
	dir, err := os.MkdirTemp("", "review-2-")
	if err != nil {
		return nil, err
	}
	w := &world{rec: rec, dir: dir}
	ips := []string{"127.0.0.1"}
	for i := range instances {
		ips = append(ips, fmt.Sprintf("127.0.%d.1", i+1))
	}
	free, err := freePorts(ips, 24)
	if err != nil {
		return w, err
	}
	w.p = ports{free[0], free[1], free[2]}
	free = free[3:]
	local := func() string {
		p := free[0]
		free = free[1:]
		return fmt.Sprintf("127.0.0.1:%d", p)
	}
	if w.store, err = newStore(local()); err != nil {
		return w, err
	}
	for service, ids := range services {
		for i, id := range ids {
			s, err := newServer(rec, id, service, local(), zones[i%len(zones)])
			if err != nil {
				return w, err
			}
			w.servers = append(w.servers, s)
			stop := make(chan struct{})
			w.stops = append(w.stops, stop)
			go s.checkIn(w.store, stop)
		}
	}
	var seeds []string
	for i := range min(instances, 3) {
		seeds = append(seeds, fmt.Sprintf("127.0.%d.1:%d", i+1, w.p.control))
	}
	for i := range instances {
		w.instances = append(w.instances, newInstance(rec, dir, i, zones[i%len(zones)], w.p, seeds, w.store.address))
	}
	return w, nil
}

// startAll starts all instances and waits until they are ready.
func (w *world) startAll() error {
	for _, in := range w.instances {
		if err := in.start(); err != nil {
			return err
		}
	}
	return awaitReady(20*time.Second, w.instances...)
}

// close ends all processes and removes the folder, or keeps it if KEEP is set.
func (w *world) close() {
	for _, in := range w.instances {
		in.kill()
	}
	for _, stop := range w.stops {
		close(stop)
	}
	if os.Getenv("KEEP") != "" {
		fmt.Println("kept", w.dir)
		return
	}
	_ = os.RemoveAll(w.dir)
}

// putManifest writes a manifest as the operator and returns when it was acknowledged.
func (w *world) putManifest(m map[string]any) time.Time {
	b, err := json.Marshal(m)
	if err != nil {
		panic(err)
	}
	w.rec.line("operator", "manifest %s", b)
	at := w.store.put("op/config", b)
	w.rec.line("operator", "manifest version %v acknowledged", m["version"])
	return at
}

// local returns the address of a port for stand-ins.
func (w *world) local(port int) string { return fmt.Sprintf("127.0.0.1:%d", port) }
