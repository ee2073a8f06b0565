// Command trial compares scheduling policies: it runs the scheduler against
// simulated engines under a fake clock and prints how requests would fare.
package main

import (
	"errors"
	"fmt"
	"os"

	"github.com/jessevdk/go-flags"

	"almondbay.example/core/schedule/trial"
)

// Exit codes.
const (
	exitFailure = 1
	exitUsage   = 2
)

// options are the flags of the command.
type options struct {
	Set         string   `long:"set" default:"crest" choice:"crest" choice:"head" choice:"reports" choice:"faults" choice:"retries" choice:"adapters" description:"what to measure"`
	Deployments []string `long:"deployment" choice:"cartaz" choice:"sava" description:"deployments; all when not given"`
	Nodes       []int    `long:"nodes" description:"numbers of nodes; 20 and 200 when not given"`
	Policies    []string `long:"policy" description:"policies; those of the set when not given"`
	Seeds       []uint64 `long:"seed" description:"seeds; 1, 2 and 3 when not given"`
	Parallel    int      `long:"parallel" default:"3" description:"trials at the same time"`
	JSON        bool     `long:"json" description:"print one JSON object for each trial"`
}

func main() {
	var o options
	if _, err := flags.Parse(&o); err != nil {
		var e *flags.Error
		if errors.As(err, &e) && e.Type == flags.ErrHelp {
			return
		}
		os.Exit(exitUsage)
	}
	if err := run(o); err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(exitFailure)
	}
}

func run(o options) error {
	o = o.withDefaults()
	if o.Set == "adapters" {
		return writeAdapters(os.Stdout, o.measureAdapters(), o.JSON)
	}
	results, err := measure(o.plan(), o.Parallel)
	if err != nil {
		return err
	}
	if o.JSON {
		return writeJSON(os.Stdout, results)
	}
	return writeTable(os.Stdout, results)
}

func (o options) withDefaults() options {
	if len(o.Deployments) == 0 {
		o.Deployments = []string{"cartaz", "sava"}
	}
	if len(o.Nodes) == 0 {
		o.Nodes = []int{20, 200}
	}
	if len(o.Seeds) == 0 {
		o.Seeds = []uint64{1, 2, 3}
	}
	return o
}

// policies returns the policies of the flag, or else the given defaults.
func (o options) policies(defaults ...trial.Policy) []trial.Policy {
	if len(o.Policies) == 0 {
		return defaults
	}
	var list []trial.Policy
	for _, p := range o.Policies {
		list = append(list, trial.Policy(p))
	}
	return list
}
