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

// listPrefix is the prefix of the feed keys of the platform's list of VMs.
const listPrefix = "list/"

// directoryConfig configures a directory.
type directoryConfig struct {
	// ID identifies this process as a source of the feed; it differs after each
	// restart of the node.
	ID          string
	Environment string
	Clock       clockwork.Clock
	Table       platform.Table
	VMs         platform.VMs
	View        *view.View
}

// directory keeps the fleet data of the platform: the list of VMs, the rows of
// replica groups and the operators' drains. It gets them from the platform or from
// a peer, serves them to other peers and publishes them to the node's view.
type directory struct {
	config directoryConfig
	source *feed.Source
	mirror *feed.Mirror
	// unpublished is set while the mirror holds changes that the view lacks. It is
	// used only by read and applyDelta, which must run in one goroutine.
	unpublished bool

	mu sync.Mutex
	// readAt is the time of the platform read that the data come from. It is zero
	// until there are data.
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

// lastRead returns the time of the platform read that the data come from. It is
// zero until there are data.
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

// read gets the fleet data from the platform.
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

// applyDelta applies the changes fetched from a peer. ReadAt is the time at which
// the platform was read for them.
func (d *directory) applyDelta(delta feed.Delta, readAt time.Time) error {
	changed := d.mirror.Apply(delta)
	if changed {
		d.source.Replace("", d.mirror.Rows(""))
	}
	// Since serves the source as soon as this is set.
	d.setLastRead(readAt)
	return d.publishIf(changed)
}

// publishIf publishes the mirror to the view if it has changed, or if an earlier
// change could not be published.
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

// publish decodes the rows of the mirror and replaces the contents of the view.
// The view stays as it is if any row cannot be decoded.
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
	// SetVMs applies the drains, so they must be set first.
	d.config.View.SetDrained(drained)
	d.config.View.SetVMs(vms)
	d.config.View.SetGroups(groups)
	return nil
}

// listRows encodes the list of VMs as rows without versions, since the list has
// none.
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

// decodeRows decodes all rows, in no particular order.
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
