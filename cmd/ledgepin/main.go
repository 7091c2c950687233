// Command ledgepin routes requests to separate pools of prefill and decode
// engines, and has the commands of its operators. See package cli.
package main

import (
	"context"
	"os"

	"github.com/ledgepin/ledgepin/cli"
)

func main() {
	os.Exit(cli.Main(context.Background(), os.Args[1:], os.Stdout, os.Stderr))
}
