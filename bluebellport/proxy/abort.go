package bbproxy

// abortOnClientClose aborts the exchange when the client closes its connection.
// The function that it returns stops this.
func (x *exchange) abortOnClientClose(clientGone <-chan struct{}) func() {
	stopped := make(chan struct{})
	go func() {
		select {
		case <-clientGone:
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
