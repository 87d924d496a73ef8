// Command auburnpierd is the daemon that runs on every entry VM.
package main

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"syscall"

	"github.com/alecthomas/kong"

	"auburnpier/internal/daemon"
	"auburnpier/internal/demo"
	"auburnpier/internal/logring"
	"auburnpier/internal/settings"
	"auburnpier/platform"
)

const description = `Daemon of the auburnpier cluster scheduler.

Examples:
  auburnpierd check-config --settings /etc/auburnpier/settings.json
  auburnpierd serve --settings /etc/auburnpier/settings.json
  auburnpierd demo --once
`

// exitInvalidSettings is the exit code for an invalid settings file.
const exitInvalidSettings = 2

type commands struct {
	Serve       serveCommand   `cmd:"" help:"Run one instance."`
	Cell        cellCommand    `cmd:"" help:"Run one instance on the users' platform."`
	CheckConfig checkCommand   `cmd:"" help:"Check a settings file and report every invalid field."`
	Demo        demoCommand    `cmd:"" help:"Run an instance with small stand-ins of the platform and drive example work through it."`
	Version     versionCommand `cmd:"" help:"Print the version."`
}

func main() {
	parsed := kong.Parse(&commands{}, kong.Name("auburnpierd"), kong.Description(description), kong.UsageOnError())
	if err := parsed.Run(); err != nil {
		fmt.Fprintln(os.Stderr, "auburnpierd:", err)
		os.Exit(1)
	}
}

type serveCommand struct {
	Settings string `help:"Settings file, JSON with comments." type:"path" required:""`
}

func (c *serveCommand) Run() error {
	s := loadSettingsOrExit(c.Settings)
	log, err := daemon.NewLog(s.Log.Level, s.Instance)
	if err != nil {
		return err
	}
	instance, err := daemon.New(s, log)
	if err != nil {
		return err
	}
	ctx, stop := contextWithSignals()
	defer stop()
	return instance.Run(ctx)
}

type cellCommand struct {
	Settings string `help:"Settings file, JSON with comments." type:"path" env:"AUBURNPIER_SETTINGS" required:""`
	Check    bool   `help:"Check the settings file and exit."`
}

func (c *cellCommand) Run() error {
	s, err := settings.LoadCell(c.Settings)
	if err != nil {
		fmt.Fprintln(os.Stderr, "auburnpierd:", err)
		os.Exit(exitInvalidSettings)
	}
	if c.Check {
		fmt.Printf("%s: no faults\n", c.Settings)
		return nil
	}
	log, err := logring.NewLog(os.Stdout, s.Log.Level)
	if err != nil {
		return err
	}
	ctx, stop := contextWithSignals()
	defer stop()
	// Addresses and limits do not change during the lifetime of a VM, so there is
	// nothing to reload on SIGHUP; the signal must not end the process.
	signal.Ignore(syscall.SIGHUP)
	return platform.NewInstance(s, log).Run(ctx)
}

// contextWithSignals returns a context that is cancelled by the first SIGINT or SIGTERM. A
// second signal terminates the process immediately.
func contextWithSignals() (context.Context, context.CancelFunc) {
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGINT, syscall.SIGTERM)
	context.AfterFunc(ctx, stop)
	return ctx, stop
}

func loadSettingsOrExit(file string) settings.Settings {
	s, err := settings.Load(file)
	if err != nil {
		fmt.Fprintln(os.Stderr, "auburnpierd:", err)
		os.Exit(exitInvalidSettings)
	}
	return s
}

type checkCommand struct {
	Settings string `help:"Settings file, JSON with comments." type:"path" required:""`
}

func (c *checkCommand) Run() error {
	loadSettingsOrExit(c.Settings)
	fmt.Printf("%s: no faults\n", c.Settings)
	return nil
}

type demoCommand struct {
	Once bool   `help:"Exit after the example: with 0, or with 1 if a guarantee was violated."`
	API  string `help:"Address of the API." default:"127.0.0.1:8080"`
}

func (c *demoCommand) Run() error {
	ctx, stop := contextWithSignals()
	defer stop()
	return demo.Run(ctx, demo.Options{Once: c.Once, API: c.API, Out: os.Stdout})
}

type versionCommand struct{}

func (c *versionCommand) Run() error {
	fmt.Println("auburnpierd", daemon.Version)
	return nil
}
