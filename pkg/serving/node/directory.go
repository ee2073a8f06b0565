package node

import (
	"context"
	"encoding/json"
	"sync"
	"time"

	"github.com/jonboulle/clockwork"

	"almondbay.example/core/feed"
	"almondbay.example/core/fleet"
	"almondbay.example/core/group"
	"almondbay.example/serving/control"
	"almondbay.example/serving/drain"
	"almondbay.example/serving/peer"
	"almondbay.example/serving/platform"
	"almondbay.example/serving/platform/platformwire"
	"almondbay.example/serving/view"
)

// listPrefix starts the keys of the entries of the platform's list of VMs.
const listPrefix = "list/"

// directoryConfig configures a directory.
type directoryConfig struct {
	// ID is unique to this start of this node's process.
	ID          string
	Environment string
	Clock       clockwork.Clock
	Table       platform.Table
	VMs         platform.VMs
	View        *view.View
}

// directory holds what the node knows of the fleet from the platform: the list
// of VMs, the rows of replica groups and the operators' drains. It reads them
// itself or is told by a peer, and tells other peers.
type directory struct {
	config directoryConfig
	source *feed.Source
	mirror *feed.Mirror
	// unpublished is set while the copy holds changes that the view lacks. It
	// belongs to read and heard, which one goroutine calls.
	unpublished bool

	mu sync.Mutex
	// readAt is when the platform was read for what is known; zero before that.
	readAt time.Time
}

var _ peer.Fleet = (*directory)(nil)

func newDirectory(c directoryConfig) *directory {
	return &directory{config: c, source: feed.NewSource(c.ID), mirror: feed.NewMirror()}
}

// Since implements peer.Fleet.
func (d *directory) Since(p feed.Position) (feed.Delta, time.Duration) {
	readAt := d.lastRead()
	if readAt.IsZero() {
		return feed.Delta{}, 0
	}
	return d.source.Since(p), d.config.Clock.Since(readAt)
}

// lastRead returns when the platform was read for what is known; zero before
// that.
func (d *directory) lastRead() time.Time {
	d.mu.Lock()
	defer d.mu.Unlock()

	return d.readAt
}

func (d *directory) setLastRead(at time.Time) {
	d.mu.Lock()
	defer d.mu.Unlock()

	d.readAt = at
}

// read reads the platform.
func (d *directory) read(ctx context.Context) error {
	now := d.config.Clock.Now()
	vms, err := d.config.VMs.List(ctx)
	if err != nil {
		return Error.Wrap(err)
	}
	groupPrefix := control.GroupPrefix(d.config.Environment)
	groups, err := d.config.Table.Range(ctx, groupPrefix)
	if err != nil {
		return Error.Wrap(err)
	}
	drains, err := d.config.Table.Range(ctx, drain.RowPrefix)
	if err != nil {
		return Error.Wrap(err)
	}
	listed, err := listRows(vms)
	if err != nil {
		return err
	}
	d.source.Replace(listPrefix, listed)
	d.source.Replace(groupPrefix, tableRows(groups))
	d.source.Replace(drain.RowPrefix, tableRows(drains))
	d.setLastRead(now)
	return d.publishIf(d.mirror.Apply(d.source.Since(d.mirror.Position())))
}

// heard takes what a peer has told, for which the platform was read at readAt.
func (d *directory) applyDelta(delta feed.Delta, readAt time.Time) error {
	changed := d.mirror.Apply(delta)
	d.setLastRead(readAt)
	if changed {
		d.source.Replace("", d.mirror.Rows(""))
	}
	return d.publishIf(changed)
}

// publishIf brings the view up to the copy if the copy has changed, now or at
// an earlier time when it could not be published.
func (d *directory) publishIf(changed bool) error {
	d.unpublished = d.unpublished || changed
	if !d.unpublished {
		return nil
	}
	if err := d.publish(); err != nil {
		return err
	}
	d.unpublished = false
	return nil
}

// publish brings the view up to the copy.
func (d *directory) publish() error {
	vms, err := decodeRows(d.mirror.Rows(listPrefix), decodeVM)
	if err != nil {
		return err
	}
	groups, err := decodeRows(d.mirror.Rows(control.GroupPrefix(d.config.Environment)), func(_ string, value []byte) (group.Row, error) {
		return control.DecodeGroup(value)
	})
	if err != nil {
		return err
	}
	var drained []string
	for key, row := range d.mirror.Rows(drain.RowPrefix) {
		requested, isDrained, err := drain.Decode(key, row.Value)
		if err != nil {
			return Error.Wrap(err)
		}
		if isDrained {
			drained = append(drained, requested.VM)
		}
	}
	// The drains take effect with the list that follows them.
	d.config.View.SetDrained(drained)
	d.config.View.SetVMs(vms)
	d.config.View.SetGroups(groups)
	return nil
}

// listRows encodes the list of VMs, which has no versions.
func listRows(vms []fleet.VM) (map[string]feed.Row, error) {
	rows := make(map[string]feed.Row, len(vms))
	for _, vm := range vms {
		value, err := json.Marshal(platformwire.FromVM(vm))
		if err != nil {
			return nil, Error.Wrap(err)
		}
		rows[listPrefix+vm.ID] = feed.Row{Value: value}
	}
	return rows, nil
}

func tableRows(from []platform.Row) map[string]feed.Row {
	rows := make(map[string]feed.Row, len(from))
	for _, row := range from {
		rows[row.Key] = feed.Row{Version: row.Version, Value: row.Value}
	}
	return rows
}

func decodeVM(_ string, value []byte) (fleet.VM, error) {
	var wire platformwire.VM
	if err := json.Unmarshal(value, &wire); err != nil {
		return fleet.VM{}, err
	}
	return platformwire.ToVM(wire), nil
}

// decodeRows decodes rows, in no order.
func decodeRows[T any](rows map[string]feed.Row, decode func(key string, value []byte) (T, error)) ([]T, error) {
	out := make([]T, 0, len(rows))
	for key, row := range rows {
		value, err := decode(key, row.Value)
		if err != nil {
			return nil, Error.Wrap(err)
		}
		out = append(out, value)
	}
	return out, nil
}
