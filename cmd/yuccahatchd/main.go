// Command yuccahatchd is the node of yuccahatch that runs on each entry host.
package main

import (
	"fmt"
	"os"

	"github.com/yuccahatch/yuccahatch/internal/daemoncmd"
)

func main() {
	if err := daemoncmd.New().Execute(); err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
}
