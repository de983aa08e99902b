// Command eelgrass-reference prints the settings reference page.
package main

import (
	"fmt"
	"os"

	"eelgrasshollow/internal/reference"
)

func main() {
	if err := reference.Write(os.Stdout); err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
}
