// Command loomkeelctl is the operators' command line.
package main

import "github.com/loomkeel/loomkeel/internal/ctl"

func main() { ctl.Main() }
