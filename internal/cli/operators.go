package cli

import (
	"context"
	"crypto/rand"
	"fmt"
	"io"
	"maps"
	"os"
	"slices"
	"strings"
	"time"

	"github.com/cockroachdb/errors"

	"auburnpier/internal/adapter/api"
	"auburnpier/internal/adapter/apiclient"
	"auburnpier/internal/core/confdoc"
	"auburnpier/internal/core/teamkey"
	"auburnpier/internal/domain"
)

// KeysCommand holds the commands for keys.
type KeysCommand struct {
	List     KeysListCommand     `cmd:"" help:"Show the granted keys without their secrets." default:"1"`
	Grant    KeysGrantCommand    `cmd:"" help:"Make a key for a team and print it once."`
	Withdraw KeysWithdrawCommand `cmd:"" help:"Withdraw a key; it stops working everywhere within seconds."`
	New      KeysNewCommand      `cmd:"" help:"Print a new key without granting it, for bootstrap.key_file."`
}

// KeysNewCommand prints a new key.
type KeysNewCommand struct{}

// Run implements the command.
func (c *KeysNewCommand) Run(g *Globals) error {
	key, err := teamkey.Generate(rand.Reader)
	if err != nil {
		return err
	}
	fmt.Fprintln(g.out, key.Reveal())
	return nil
}

// KeysListCommand shows the keys.
type KeysListCommand struct{}

// Run implements the command.
func (c *KeysListCommand) Run(g *Globals) error {
	table, err := g.table()
	if err != nil {
		return err
	}
	return g.print(table.Keys, func(w io.Writer) {
		row(w, "KEY", "TEAM", "OPERATOR", "GRANTED")
		for _, id := range slices.Sorted(maps.Keys(table.Keys)) {
			k := table.Keys[id]
			row(w, id, k.Team, k.Operator, k.Granted.Format(time.RFC3339))
		}
	})
}

// KeysGrantCommand grants a key. The secret is made here; only its hash is sent.
type KeysGrantCommand struct {
	Team     string `help:"Team that the key belongs to." required:""`
	Operator bool   `help:"The key may change the configuration."`
	SaveTo   string `help:"Write the key to this new file instead of printing it." type:"path"`
}

// Run implements the command.
func (c *KeysGrantCommand) Run(g *Globals) error {
	key, err := teamkey.Generate(rand.Reader)
	if err != nil {
		return err
	}
	if c.SaveTo != "" {
		// Written before the key is granted, so that no granted key is lost.
		if err := writeKey(c.SaveTo, key); err != nil {
			return err
		}
	}
	err = g.apply("", confdoc.Edit{GrantKey: &confdoc.GrantKey{
		KeyID: key.ID(), Team: domain.TeamID(c.Team), SecretSHA256: key.SecretSHA256(),
		Granted: time.Now().UTC(), Operator: c.Operator,
	}})
	if err != nil {
		return err
	}
	if c.SaveTo == "" {
		fmt.Fprintln(g.out, key.Reveal())
	}
	return nil
}

func writeKey(file string, key teamkey.Key) error {
	f, err := os.OpenFile(file, os.O_WRONLY|os.O_CREATE|os.O_EXCL, 0o600)
	if err != nil {
		return errors.Mark(errors.Wrap(err, "create key file; name one that does not exist"), errUsage)
	}
	_, err = fmt.Fprintln(f, key.Reveal())
	return errors.CombineErrors(err, f.Close())
}

// KeysWithdrawCommand withdraws a key.
type KeysWithdrawCommand struct {
	Key string `arg:"" help:"ID of the key, as shown by: auburnpier keys list."`
}

// Run implements the command.
func (c *KeysWithdrawCommand) Run(g *Globals) error {
	table, err := g.table()
	if err != nil {
		return err
	}
	return g.apply("", confdoc.Edit{WithdrawKey: &confdoc.WithdrawKey{KeyID: c.Key, Based: table.Keys[c.Key].Revision}})
}

// QueuesCommand holds the commands for queues.
type QueuesCommand struct {
	Show   QueuesShowCommand   `cmd:"" help:"Show all queues." default:"1"`
	Set    QueuesSetCommand    `cmd:"" help:"Add or change a queue."`
	Delete QueuesDeleteCommand `cmd:"" help:"Delete a queue."`
}

// QueuesShowCommand shows the queues.
type QueuesShowCommand struct{}

// Run implements the command.
func (c *QueuesShowCommand) Run(g *Globals) error {
	table, err := g.table()
	if err != nil {
		return err
	}
	return g.print(table.Queues, func(w io.Writer) {
		row(w, "QUEUE", "OPEN", "MAX_WAITING", "TIMEOUT", "REVISION")
		for _, id := range slices.Sorted(maps.Keys(table.Queues)) {
			q := table.Queues[id]
			row(w, id, q.Open, q.MaxWaiting, time.Duration(q.TimeoutMS)*time.Millisecond, q.Revision)
		}
	})
}

// QueuesSetCommand adds or changes a queue.
type QueuesSetCommand struct {
	Queue      string        `arg:"" help:"Name of the queue."`
	Open       bool          `help:"Accept requests without a key."`
	MaxWaiting int           `help:"Most requests that wait at one instance." default:"1000"`
	Deadline   time.Duration `help:"Deadline of requests that name none." default:"30s"`
	Revision   *uint64       `help:"Revision of the row that the change is based on; the present one without it."`
}

// Run implements the command.
func (c *QueuesSetCommand) Run(g *Globals) error {
	table, err := g.table()
	if err != nil {
		return err
	}
	based := table.Queues[domain.QueueID(c.Queue)].Revision
	if c.Revision != nil {
		based = *c.Revision
	}
	queue := domain.QueueRow{Open: c.Open, MaxWaiting: c.MaxWaiting, TimeoutMS: c.Deadline.Milliseconds()}
	return g.apply("", confdoc.Edit{SetQueue: &confdoc.SetQueue{Queue: domain.QueueID(c.Queue), Based: based, Row: queue}})
}

// QueuesDeleteCommand deletes a queue.
type QueuesDeleteCommand struct {
	Queue string `arg:"" help:"Name of the queue."`
}

// Run implements the command.
func (c *QueuesDeleteCommand) Run(g *Globals) error {
	table, err := g.table()
	if err != nil {
		return err
	}
	based := table.Queues[domain.QueueID(c.Queue)].Revision
	return g.apply("", confdoc.Edit{DeleteQueue: &confdoc.DeleteQueue{Queue: domain.QueueID(c.Queue), Based: based}})
}

// PartitionsCommand holds the commands for partitions.
type PartitionsCommand struct {
	Show PartitionsShowCommand `cmd:"" help:"Show the partitions." default:"1"`
	Set  PartitionsSetCommand  `cmd:"" help:"Replace all partitions."`
}

// PartitionsShowCommand shows the partitions.
type PartitionsShowCommand struct{}

// Run implements the command.
func (c *PartitionsShowCommand) Run(g *Globals) error {
	table, err := g.table()
	if err != nil {
		return err
	}
	return g.print(table.Partitions, func(w io.Writer) {
		row(w, "PARTITION", "REGION", "ZONES")
		for _, p := range table.Partitions {
			zones := make([]string, 0, len(p.Zones))
			for _, z := range p.Zones {
				zones = append(zones, string(z))
			}
			row(w, p.ID, p.Region, strings.Join(zones, ","))
		}
	})
}

// PartitionsSetCommand replaces the partitions.
type PartitionsSetCommand struct {
	Partitions []string `arg:"" help:"Partitions as name:region:zone+zone."`
}

// Run implements the command.
func (c *PartitionsSetCommand) Run(g *Globals) error {
	table, err := g.table()
	if err != nil {
		return err
	}
	rows := make([]domain.PartitionRow, 0, len(c.Partitions))
	for _, text := range c.Partitions {
		parts := strings.Split(text, ":")
		if len(parts) != 3 {
			return errors.Mark(errors.Newf("%q is not of the form name:region:zone+zone", text), errUsage)
		}
		p := domain.PartitionRow{ID: domain.PartitionID(parts[0]), Region: domain.RegionID(parts[1])}
		for _, z := range strings.Split(parts[2], "+") {
			p.Zones = append(p.Zones, domain.ZoneID(z))
		}
		rows = append(rows, p)
	}
	return g.apply("", confdoc.Edit{SetPartitions: &confdoc.SetPartitions{Based: table.Partitions, Partitions: rows}})
}

// StatusCommand shows all instances.
type StatusCommand struct{}

// Run implements the command.
func (c *StatusCommand) Run(g *Globals) error {
	var list []api.InstanceStatus
	err := g.call(func(ctx context.Context, client *apiclient.Client) error {
		var err error
		list, err = client.Status(ctx)
		return err
	})
	if err != nil {
		return err
	}
	return g.print(list, func(w io.Writer) {
		row(w, "INSTANCE", "STATE", "REGION", "ZONE", "API", "VERSION_IN_FORCE", "READY", "PARTITIONS", "NOTE")
		for _, s := range list {
			ready, note := "?", s.Error
			if s.Details != nil {
				ready = fmt.Sprint(s.Details.Ready)
			}
			if s.Draining {
				note = strings.TrimSpace("draining " + note)
			}
			names := make([]string, 0, len(s.Partitions))
			for _, p := range s.Partitions {
				names = append(names, string(p))
			}
			row(w, s.ID, s.State, s.Region, s.Zone, s.Address, s.ConfigVersion, ready, strings.Join(names, ","), note)
		}
	})
}

// DrainCommand drains an instance.
type DrainCommand struct{}

// Run implements the command.
func (c *DrainCommand) Run(g *Globals) error {
	err := g.call(func(ctx context.Context, client *apiclient.Client) error { return client.Drain(ctx) })
	if err != nil {
		return err
	}
	fmt.Fprintf(g.out, "%s is draining\n", g.Server)
	return nil
}
