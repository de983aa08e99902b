// Command eelgrass-standin emulates an endpoint or the platform for demos and tests.
package main

import (
	"context"
	"fmt"
	"net/http"
	"os"
	"os/signal"
	"strings"
	"syscall"
	"time"

	"github.com/spf13/cobra"

	"eelgrasshollow/internal/standin"
)

// stopGrace bounds how long a stop waits for requests in flight.
const stopGrace = 5 * time.Second

func main() {
	if err := command().Execute(); err != nil {
		os.Exit(1)
	}
}

func command() *cobra.Command {
	root := &cobra.Command{Use: "eelgrass-standin", Short: "Emulate an endpoint or the platform", SilenceUsage: true}
	listen := root.PersistentFlags().String("listen", "127.0.0.1:0", "address to listen on")
	serve := func(h http.Handler) error { return run(*listen, h) }
	root.AddCommand(engine(serve), plain(serve), store(serve), weights(serve), vms(serve))
	return root
}

type serveFunc func(http.Handler) error

func engine(serve serveFunc) *cobra.Command {
	var c standin.EngineConfig
	var models []string
	cmd := &cobra.Command{Use: "engine", Short: "A model engine", Args: cobra.NoArgs, RunE: func(*cobra.Command, []string) error {
		loaded, err := parseModels(models)
		if err != nil {
			return err
		}
		c.Models = loaded
		return serve(standin.NewEngine(c).Handler())
	}}
	f := cmd.Flags()
	f.StringVar(&c.Name, "name", "engine", "name in answers")
	f.StringSliceVar(&models, "model", nil, "MODEL=WEIGHTS-VERSION loaded at the start; none serves any model")
	f.IntVar(&c.Blocks, "blocks", 2000, "pieces of about 1,000 tokens that the prefix cache holds")
	f.DurationVar(&c.Keep, "keep", 0, "blocks unused for so long are evicted; 0 keeps them while there is room")
	f.IntVar(&c.Slots, "slots", 32, "requests in the running batch")
	f.Float64Var(&c.PrefillRate, "prefill-rate", 100_000, "tokens of prompt computed a second")
	f.DurationVar(&c.TokenTime, "token-time", 2*time.Millisecond, "time between tokens")
	f.DurationVar(&c.LoadLag, "load-lag", 200*time.Millisecond, "age that a load report reaches")
	f.DurationVar(&c.EventDelay, "event-delay", 100*time.Millisecond, "delay of cache events")
	f.Float64Var(&c.EventLoss, "event-loss", 0, "share of cache events lost")
	f.Uint64Var(&c.Seed, "seed", 1, "seed of the random losses")
	f.BoolVar(&c.ChecksFencing, "checks-fencing", true, "refuse orders with an old fencing number")
	f.DurationVar(&c.WeightsTime, "weights-time", 2*time.Second, "time to load weights without a store")
	f.DurationVar(&c.ImportTime, "import-time", time.Millisecond, "time to import a piece from a kept-cache store")
	return cmd
}

func parseModels(texts []string) (map[string]string, error) {
	models := map[string]string{}
	for _, t := range texts {
		name, version, ok := strings.Cut(t, "=")
		if !ok {
			return nil, fmt.Errorf("--model %q is not MODEL=WEIGHTS-VERSION", t)
		}
		models[name] = version
	}
	return models, nil
}

func plain(serve serveFunc) *cobra.Command {
	var name string
	var work time.Duration
	cmd := &cobra.Command{Use: "plain", Short: "A plain service", Args: cobra.NoArgs, RunE: func(*cobra.Command, []string) error {
		return serve(standin.NewPlain(name, work).Handler())
	}}
	cmd.Flags().StringVar(&name, "name", "plain", "service name in answers")
	cmd.Flags().DurationVar(&work, "work", 5*time.Millisecond, "time that a call takes")
	return cmd
}

func store(serve serveFunc) *cobra.Command {
	var blocks int
	cmd := &cobra.Command{Use: "store", Short: "A kept-cache store", Args: cobra.NoArgs, RunE: func(*cobra.Command, []string) error {
		return serve(standin.NewStore(blocks).Handler())
	}}
	cmd.Flags().IntVar(&blocks, "blocks", 20_000, "pieces that it keeps")
	return cmd
}

func weights(serve serveFunc) *cobra.Command {
	var load time.Duration
	var atOnce int
	cmd := &cobra.Command{Use: "weights", Short: "A weight store", Args: cobra.NoArgs, RunE: func(*cobra.Command, []string) error {
		return serve(standin.NewWeights(load, atOnce).Handler())
	}}
	cmd.Flags().DurationVar(&load, "load-time", 2*time.Second, "time that a load takes")
	cmd.Flags().IntVar(&atOnce, "at-once", 2, "loads at once before they slow each other")
	return cmd
}

func vms(serve serveFunc) *cobra.Command {
	var lag time.Duration
	cmd := &cobra.Command{Use: "vms", Short: "The platform's list of VMs", Args: cobra.NoArgs, RunE: func(*cobra.Command, []string) error {
		return serve(standin.NewVMs(lag).Handler())
	}}
	cmd.Flags().DurationVar(&lag, "lag", 2*time.Second, "age of the list")
	return cmd
}

// run serves until SIGTERM or an interrupt, then lets requests in flight end.
func run(listen string, h http.Handler) error {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	s := &http.Server{Addr: listen, Handler: h, ReadHeaderTimeout: 10 * time.Second}
	failed := make(chan error, 1)
	go func() { failed <- s.ListenAndServe() }()
	select {
	case err := <-failed:
		return err
	case <-ctx.Done():
	}
	graceful, cancel := context.WithTimeout(context.Background(), stopGrace)
	defer cancel()
	if s.Shutdown(graceful) != nil {
		return s.Close() // event readers never end by themselves
	}
	return nil
}
