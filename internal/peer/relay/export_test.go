package relay

// Failing reports whether the last read of the table failed.
func (l *Log) Failing() bool {
	l.mu.Lock()
	defer l.mu.Unlock()

	return l.failing
}
