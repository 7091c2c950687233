// Command ledgepin is a router for separate prefill and decode pools.
package main

import (
	"context"
	"os"

	"github.com/ledgepin/ledgepin/cli"
)

func main() {
	os.Exit(cli.Main(context.Background(), os.Args[1:], os.Stdout, os.Stderr))
}
