// Package wal keeps the hard state, the log and the snapshot of a control
// replica on its disk.
//
// Each append is one record with a checksum, synced before it returns. Since
// only one append is ever unsynced, a crash can damage only the last record:
// such a tail is cut. A damaged record with a whole one after it means that
// the disk lost what was synced, and the journal refuses to open. Snapshots
// are written aside, synced and renamed.
package wal
