package main

import (
	"fmt"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"
)

// instance is one process of the deploy file.
type instance struct {
	w                        *world
	name, zone, front, ready string
	peer                     string
	door                     *door

	mu    sync.Mutex
	cmd   *exec.Cmd
	ended chan struct{}
	want  bool
}

// taken are the ports that were given out.
var taken = map[int]bool{}

// freePort returns an address on which nothing listens, outside of the range from which
// the system takes the ports of outgoing channels.
func freePort() string {
	for {
		port := 15000 + rnd(16000)
		if taken[port] {
			continue
		}
		address := fmt.Sprintf("127.0.0.1:%d", port)
		ln, err := net.Listen("tcp4", address)
		if err != nil {
			continue
		}
		_ = ln.Close()
		taken[port] = true
		return address
	}
}

func (i *instance) settings(seeds []string) string {
	return strings.Join([]string{
		"node-name=" + i.name, "zone=" + i.zone, "listen-addresses.frontend=" + i.front, "listen-addresses.ready=" + i.ready, "listen-addresses.control-plane=" + i.peer,
		"seed-nodes=" + strings.Join(seeds, ","), "platform.address=" + i.door.addr, "bounds.grace-period-s=8", "bounds.drain-timeout-ms=2000", "limits.memory-mb=284", "limits.file-descriptors=4100",
		"limits.link-mbps=1000.0", "bounds.retry-budget-ratio=0.2", "bounds.budget-window-s=10", "bounds.retry-budget-extra=56", "",
	}, "\n")
}

func (i *instance) start() {
	i.mu.Lock()
	defer i.mu.Unlock()
	var seeds []string
	for _, o := range i.w.instances[:min(3, len(i.w.instances))] {
		seeds = append(seeds, o.peer)
	}
	conf := filepath.Join(i.w.dir, i.name+".conf")
	if err := os.WriteFile(conf, []byte(i.settings(seeds)), 0o600); err != nil {
		panic(err)
	}
	log, err := os.OpenFile(filepath.Join(i.w.dir, i.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		panic(err)
	}
	cmd := exec.Command(i.w.program, "native")
	cmd.Env = []string{"BLUEBELLPORT_SETTINGS=" + conf, "PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME")}
	cmd.Stdout, cmd.Stderr = log, log
	if err := cmd.Start(); err != nil {
		panic(err)
	}
	_ = log.Close()
	i.cmd, i.ended = cmd, make(chan struct{})
	ended := i.ended
	go func() {
		err := cmd.Wait()
		i.w.note("instance %s ended: %v", i.name, err)
		i.mu.Lock()
		if i.want {
			i.w.breach("CRASH", "instance %s ended by itself: %v", i.name, err)
		}
		i.mu.Unlock()
		close(ended)
	}()
	i.want = true
}

func (i *instance) end() {
	i.mu.Lock()
	if i.cmd == nil {
		i.mu.Unlock()
		return
	}
	i.want = false
	_ = i.cmd.Process.Signal(syscall.SIGCONT)
	_ = i.cmd.Process.Kill()
	ended := i.ended
	i.mu.Unlock()
	<-ended
}

func (w *world) addInstance(zone string) *instance {
	n := len(w.instances) + 1
	i := &instance{w: w, name: fmt.Sprintf("edge-%s-%d", zone, n), zone: zone, front: freePort(), ready: freePort(), peer: freePort(), door: w.st.open()}
	w.instances = append(w.instances, i)
	return i
}

func (i *instance) waitReady(d time.Duration) bool {
	for end := time.Now().Add(d); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
		if i.isReady() {
			return true
		}
	}
	return false
}

func (i *instance) isReady() bool {
	c, err := net.DialTimeout("tcp4", i.ready, 200*time.Millisecond)
	if err != nil {
		return false
	}
	defer c.Close()
	_ = c.SetDeadline(time.Now().Add(300 * time.Millisecond))
	fmt.Fprintf(c, "GET /readiness HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n")
	b := make([]byte, 16)
	n, _ := c.Read(b)
	return strings.HasPrefix(string(b[:n]), "HTTP/1.1 200")
}
