package bbproxy

// abortOnceGone aborts the exchange when its client is gone. The function that it
// returns stops this.
func (x *exchange) abortOnceGone() func() {
	stopped := make(chan struct{})
	go func() {
		select {
		case <-x.gone.done():
			x.abort()
		case <-stopped:
		}
	}()
	return func() { close(stopped) }
}

// abort closes the connection to the target, which cancels the request there,
// and keeps further attempts from starting.
func (x *exchange) abort() {
	x.mu.Lock()
	defer x.mu.Unlock()
	x.aborted = true
	if x.conn != nil {
		_ = x.conn.Close()
	}
}

// setConn sets the connection that abort closes. It returns false if the
// exchange has already been aborted.
func (x *exchange) setConn(conn *targetConn) bool {
	x.mu.Lock()
	defer x.mu.Unlock()
	if x.aborted {
		return false
	}
	x.conn = conn
	return true
}

// isAborted reports whether abort has been called.
func (x *exchange) isAborted() bool {
	x.mu.Lock()
	defer x.mu.Unlock()
	return x.aborted
}
