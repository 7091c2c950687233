// Package compat tells what two builds that run side by side have in common.
//
// A build speaks all versions of a range, not one version only: machines are replaced one
// after the other, so the two ends of a link are seldom of the same build during an upgrade.
// They speak the highest version that both know, and nothing but ranges that have none in
// common keeps them apart.
package compat
