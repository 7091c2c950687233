package entry

import "time"

// SetRecordTimeout sets how long outcomes wait to be recorded by a majority of the voters.
func (e *Entry) SetRecordTimeout(d time.Duration) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.recordTimeout = d
}
