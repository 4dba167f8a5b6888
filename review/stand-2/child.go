package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"strconv"
	"sync/atomic"
	"syscall"
	"time"
)

// pieces is how many events a child server's stream has, piecePause the time before each.
const (
	pieces     = 20
	piecePause = 100 * time.Millisecond
)

// piece is one event of a stream.
func piece(attempt string, i int) string {
	return fmt.Sprintf("id: %d\ndata: piece %d of %s\n\n", i, i, attempt)
}

// unframedEvery is how many answers of a child server there are for one without a length,
// if it is one of those that leave it out.
const unframedEvery = 20

// serveChild is the process of a server. It serves until it is killed. Its answers come in
// chunks, but for one in unframedEvery if unframed: that one ends with its channel.
func serveChild(id, address string, unframed bool) error {
	ln, err := net.Listen("tcp4", address)
	if err != nil {
		return err
	}
	var answers atomic.Int64
	for {
		c, err := ln.Accept()
		if err != nil {
			return err
		}
		go func() {
			defer func() { _ = c.Close() }()
			r, err := http.ReadRequest(bufio.NewReader(c))
			if err != nil {
				return
			}
			_, _ = io.Copy(io.Discard, r.Body)
			attempt := r.Header.Get("Attempt-Id")
			if r.Header.Get("Expected-Instance") != id {
				fmt.Fprintf(c, "HTTP/1.1 421 Misdirected Request\r\nAttempt-Id: %s\r\nContent-Length: 0\r\nConnection: close\r\n\r\n", attempt)
				return
			}
			answerInPieces(c, attempt, unframed && answers.Add(1)%unframedEvery == 0)
		}()
	}
}

// answerInPieces writes a stream, in chunks or without a length.
func answerInPieces(c net.Conn, attempt string, unframed bool) {
	framing := "Transfer-Encoding: chunked\r\n"
	if unframed {
		framing = ""
	}
	fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nAttempt-Id: %s\r\nServer-Signature: %s\r\nContent-Type: text/event-stream\r\n%sConnection: close\r\n\r\n", attempt, sign(attempt), framing)
	for i := 1; i <= pieces; i++ {
		time.Sleep(piecePause)
		text := piece(attempt, i)
		if !unframed {
			text = fmt.Sprintf("%x\r\n%s\r\n", len(text), text)
		}
		if _, err := io.WriteString(c, text); err != nil {
			return
		}
	}
	if !unframed {
		_, _ = io.WriteString(c, "0\r\n\r\n")
	}
}

// child is a server in a process of its own.
type child struct {
	server
	cmd *exec.Cmd
}

// startChild starts a child server. The caller starts its check-ins.
func startChild(rec *record, id, service, address, zone string, unframed bool) (*child, error) {
	c := &child{server: server{id: id, service: service, address: address, zone: zone, slots: 64, born: time.Now().UnixMilli(), state: "ready", rec: rec}}
	c.cmd = exec.Command(os.Args[0], "server", id, address, strconv.FormatBool(unframed))
	c.cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := c.cmd.Start(); err != nil {
		return nil, err
	}
	for range 100 {
		if conn, err := net.Dial("tcp4", address); err == nil {
			_ = conn.Close()
			return c, nil
		}
		time.Sleep(20 * time.Millisecond)
	}
	return c, fmt.Errorf("server %s does not listen", id)
}

// kill kills the server's process.
func (c *child) kill() {
	c.mu.Lock()
	c.down = true
	c.mu.Unlock()
	c.rec.line("server", "%s gets SIGKILL", c.id)
	_ = c.cmd.Process.Kill()
	_ = c.cmd.Wait()
}
