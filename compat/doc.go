// Package compat determines which protocol version two builds have in common, and when
// the version of a fleet may rise.
//
// A build supports a range of versions: VMs are upgraded one after the other, so during
// an upgrade the two ends of a link usually run different builds. They use the highest
// version that both support, and refuse each other only if their ranges have no version
// in common.
package compat
