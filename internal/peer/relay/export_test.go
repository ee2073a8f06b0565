package relay

// Failing reports whether the last reading of the table has failed.
func (l *Log) Failing() bool {
	l.mu.Lock()
	defer l.mu.Unlock()

	return l.failing
}
