package capacity

import (
	"context"
	"fmt"
	"runtime"

	"pearknot/internal/lab/simcluster"
)

const settled = 3500.0 // ms of virtual time after which each log has its leader and its copies

func linkProbes() []probe {
	const span = 1000.0 // ms of virtual time in a run
	return []probe{{name: "links", by: "members", sizes: []float64{5, 10, 20, 40, 60}, quick: []float64{5, 10, 20, 30},
		metrics: []metric{
			{"links.bytes", "links between processes, quiet: a node's sending", "B/s", false},
			{"links.frames", "the same, frames", "1/s", false},
			{"links.cpu", "the same, processor time a node (simulated cluster: no sockets, no proofs)", "ms/s", false},
		},
		open: func(_ context.Context, _ *Bench, size float64) (*rig, error) {
			f := simcluster.New(1, int(size), 3)
			f.Start()
			f.Advance(settled)
			return &rig{run: func(context.Context) ([]float64, error) {
				bytes, frames, cpu := f.BytesSent, f.FramesSent, spent()
				f.Advance(span)
				a := size * span / 1e3
				return []float64{float64(f.BytesSent-bytes) / a, float64(f.FramesSent-frames) / a, (spent() - cpu) / a}, nil
			}}, nil
		}}}
}

func keptProbes() []probe {
	const members, rate, body = 3, 320.0, 200
	return []probe{{name: "takeover", by: "requests kept", sizes: []float64{500, 1000, 2000, 4000}, quick: []float64{100, 200, 400, 800},
		metrics: []metric{
			{"kept.heap", "takeover's records, three processes that keep each other's: heap a process", "B", false},
			{"kept.cpu", "the same, processor time a process for all of them", "ms", false},
			{"kept.bytes", "the same, bytes that a process sends for all of them", "B", false},
		},
		open: func(_ context.Context, _ *Bench, size float64) (*rig, error) {
			return &rig{run: func(context.Context) ([]float64, error) {
				f := simcluster.New(1, members, 3)
				f.Start()
				f.Advance(settled)
				before, bytes, cpu, over := heap(), f.BytesSent, spent(), size/rate*1e3
				f.LogRequests(0, int(size), over, body)
				f.Advance(over + 500)
				cpu, bytes = spent()-cpu, f.BytesSent-bytes
				after := heap()
				if f.LoggedAnswers != int(size) {
					return nil, fmt.Errorf("%d of %g requests kept: the logs are full", f.LoggedAnswers, size)
				}
				runtime.KeepAlive(f)
				return []float64{max(after-before, 0) / members, cpu / members, float64(bytes) / members}, nil
			}}, nil
		}}}
}
