package main

import (
	"errors"
	"fmt"
	"slices"
	"strings"

	"github.com/spf13/cobra"

	"pearknot/internal/cli"
	"pearknot/internal/lab/experiment"
)

// maxDevices bounds --devices.
const maxDevices = 10_000

// playOptions are the flags that the commands which play experiments have in common.
type playOptions struct {
	virtual     bool
	policy      string // empty is the file's
	seeds       []uint // none is the file's
	outDir      string
	writeEvents bool
	captureDir  string
	pearknot    string // the node's program; empty is the one beside this program, or a new build
	nodeArgs    []string
	tls         bool
	renewAt     []float64 // seconds of the run at which the certificate is renewed
	devices     int
}

// addTo adds all flags to a command.
func (o *playOptions) addTo(command *cobra.Command) {
	flags := command.Flags()
	flags.BoolVar(&o.virtual, "virtual", false, "play in virtual time, not with real processes")
	flags.StringVar(&o.policy, "policy", "", "who decides: "+strings.Join(experiment.Policies, ", "))
	flags.UintSliceVar(&o.seeds, "seeds", nil, "seeds in place of the file's")
	flags.StringVar(&o.outDir, "out", "", "directory for result.json and report.html")
	flags.BoolVar(&o.writeEvents, "events", false, "write all events too: events.jsonl.zst in the directory")
	flags.StringVar(&o.captureDir, "capture", "", "directory for a capture of node 0's balancer, with --virtual and one seed")
	o.addNodeFlagsTo(command)
}

// addNodeFlagsTo adds the flags of commands that start nodes.
func (o *playOptions) addNodeFlagsTo(command *cobra.Command) {
	o.addProgramFlagTo(command)
	flags := command.Flags()
	flags.StringArrayVar(&o.nodeArgs, "node-arg", nil, "a further argument of each node's, such as --capture=FILE")
	flags.BoolVar(&o.tls, "tls", false, "clients speak TLS, with certificates of a stand-in authority")
	flags.IntVar(&o.devices, "devices", 1, "that clients are spread over, each with connections of its own; on sockets")
	flags.Float64SliceVar(&o.renewAt, "renew", nil, "with --tls: seconds at which the certificate is ordered anew")
}

// addProgramFlagTo adds the flag that names the node's program.
func (o *playOptions) addProgramFlagTo(command *cobra.Command) {
	command.Flags().StringVar(&o.pearknot, "pearknot", "",
		"the node's program; else the one beside this, else it is built")
}

// applyTo sets what the flags give in place of the experiment's values, and checks that the flags go together.
func (o *playOptions) applyTo(e *experiment.Experiment) error {
	if o.policy != "" {
		e.Policy = o.policy
	}
	if len(o.seeds) > 0 {
		e.Seeds = nil
		for _, seed := range o.seeds {
			e.Seeds = append(e.Seeds, uint64(seed))
		}
	}
	if err := o.check(e); err != nil {
		return cli.UsageError(err)
	}
	return nil
}

// check returns the first error in the flags, of an experiment to which they have been applied.
func (o *playOptions) check(e *experiment.Experiment) error {
	switch {
	case o.tls && (o.virtual || o.policy != "" && o.policy != balancerPolicy):
		return errors.New("--tls is for real nodes")
	case o.devices < 0 || o.devices > maxDevices:
		return fmt.Errorf("--devices %d is not 0 to %d", o.devices, maxDevices)
	case len(o.renewAt) > 0 && !o.tls:
		return errors.New("--renew goes with --tls")
	case o.policy != "" && !slices.Contains(experiment.Policies, o.policy):
		return fmt.Errorf("--policy %q is none of %s", o.policy, strings.Join(experiment.Policies, ", "))
	case o.captureDir != "" && (!o.virtual || len(e.Seeds) > 1 || e.Policy != balancerPolicy):
		return errors.New("--capture needs --virtual, one seed and the balancer itself")
	case o.writeEvents && (o.outDir == "" || len(e.Seeds) > 1):
		return errors.New("--events writes one history: it needs --out and one seed")
	}
	return nil
}
