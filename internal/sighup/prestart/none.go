//go:build !cgo

package prestart
