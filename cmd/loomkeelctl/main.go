// Command loomkeelctl is the operators' command line. Package ctl implements it.
package main

import "github.com/loomkeel/loomkeel/internal/ctl"

func main() { ctl.Main() }
