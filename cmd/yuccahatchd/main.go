// Command yuccahatchd is the node daemon of yuccahatch. One runs on each entry
// host.
package main

import (
	"context"
	"fmt"
	"os"

	"github.com/yuccahatch/yuccahatch/internal/daemoncmd"
)

func main() {
	if err := daemoncmd.New().ExecuteContext(context.Background()); err != nil {
		fmt.Fprintln(os.Stderr, "yuccahatchd:", err)
		os.Exit(1)
	}
}
