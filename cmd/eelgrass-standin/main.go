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

// shutdownTimeout bounds the wait for requests in flight on shutdown.
const shutdownTimeout = 5 * time.Second

func main() {
	if err := command().Execute(); err != nil {
		os.Exit(1)
	}
}

func command() *cobra.Command {
	root := &cobra.Command{Use: "eelgrass-standin", Short: "Emulate an endpoint or the platform", SilenceUsage: true}
	listen := root.PersistentFlags().String("listen", "127.0.0.1:0", "address to listen on")
	serve := func(h http.Handler) error { return listenAndServe(*listen, h) }
	root.AddCommand(engineCommand(serve), plainCommand(serve), storeCommand(serve), weightsCommand(serve), vmsCommand(serve))
	return root
}

// serveFunc serves a handler at the address of the flag --listen.
type serveFunc func(http.Handler) error

func engineCommand(serve serveFunc) *cobra.Command {
	var config standin.EngineConfig
	var models []string
	cmd := &cobra.Command{Use: "engine", Short: "Emulate a model engine", Args: cobra.NoArgs, RunE: func(*cobra.Command, []string) error {
		loaded, err := parseModels(models)
		if err != nil {
			return err
		}
		config.Models = loaded
		return serve(standin.NewEngine(config).Handler())
	}}
	f := cmd.Flags()
	f.StringVar(&config.Name, "name", "engine", "name in responses")
	f.StringSliceVar(&models, "model", nil, "MODEL=WEIGHTS-VERSION loaded at the start; without any, every model is served")
	f.IntVar(&config.CacheBlocks, "blocks", 2000, "capacity of the prefix cache, in blocks of about 1,000 tokens")
	f.DurationVar(&config.BlockTTL, "keep", 0, "evict blocks unused for this time; 0 evicts only when the cache is full")
	f.IntVar(&config.BatchSlots, "slots", 32, "requests in the running batch")
	f.Float64Var(&config.PrefillRate, "prefill-rate", 100_000, "prompt tokens computed per second")
	f.DurationVar(&config.TokenTime, "token-time", 2*time.Millisecond, "time between output tokens")
	f.DurationVar(&config.LoadReportLag, "load-lag", 200*time.Millisecond, "maximum age of a load report")
	f.DurationVar(&config.EventDelay, "event-delay", 100*time.Millisecond, "delay of cache events")
	f.Float64Var(&config.EventLoss, "event-loss", 0, "share of cache events lost")
	f.Uint64Var(&config.Seed, "seed", 1, "seed of the random losses")
	f.BoolVar(&config.ChecksFencing, "checks-fencing", true, "refuse orders with an old fencing number")
	f.DurationVar(&config.WeightsLoadTime, "weights-time", 2*time.Second, "time to load weights without a store")
	f.DurationVar(&config.BlockImportTime, "import-time", time.Millisecond, "time to import a block from a kept-cache store")
	return cmd
}

// parseModels parses values of the flag --model and returns weights versions by model.
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

func plainCommand(serve serveFunc) *cobra.Command {
	var name string
	var work time.Duration
	cmd := &cobra.Command{Use: "plain", Short: "Emulate a plain service", Args: cobra.NoArgs, RunE: func(*cobra.Command, []string) error {
		return serve(standin.NewPlainService(name, work).Handler())
	}}
	cmd.Flags().StringVar(&name, "name", "plain", "service name in responses")
	cmd.Flags().DurationVar(&work, "work", 5*time.Millisecond, "duration of a call")
	return cmd
}

func storeCommand(serve serveFunc) *cobra.Command {
	var blocks int
	cmd := &cobra.Command{Use: "store", Short: "Emulate a kept-cache store", Args: cobra.NoArgs, RunE: func(*cobra.Command, []string) error {
		return serve(standin.NewKeptCacheStore(blocks).Handler())
	}}
	cmd.Flags().IntVar(&blocks, "blocks", 20_000, "capacity in blocks")
	return cmd
}

func weightsCommand(serve serveFunc) *cobra.Command {
	var loadTime time.Duration
	var parallel int
	cmd := &cobra.Command{Use: "weights", Short: "Emulate a weight store", Args: cobra.NoArgs, RunE: func(*cobra.Command, []string) error {
		return serve(standin.NewWeightStore(loadTime, parallel).Handler())
	}}
	cmd.Flags().DurationVar(&loadTime, "load-time", 2*time.Second, "duration of a load")
	cmd.Flags().IntVar(&parallel, "at-once", 2, "number of concurrent loads above which loads slow each other down")
	return cmd
}

func vmsCommand(serve serveFunc) *cobra.Command {
	var lag time.Duration
	cmd := &cobra.Command{Use: "vms", Short: "Emulate the platform's list of VMs", Args: cobra.NoArgs, RunE: func(*cobra.Command, []string) error {
		return serve(standin.NewVMDirectory(lag).Handler())
	}}
	cmd.Flags().DurationVar(&lag, "lag", 2*time.Second, "age of the list")
	return cmd
}

// listenAndServe serves until SIGTERM or an interrupt and then shuts down gracefully.
func listenAndServe(listen string, h http.Handler) error {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	server := &http.Server{Addr: listen, Handler: h, ReadHeaderTimeout: 10 * time.Second}
	serveErr := make(chan error, 1)
	go func() { serveErr <- server.ListenAndServe() }()
	select {
	case err := <-serveErr:
		return err
	case <-ctx.Done():
	}
	shutdownCtx, cancel := context.WithTimeout(context.Background(), shutdownTimeout)
	defer cancel()
	if server.Shutdown(shutdownCtx) != nil {
		return server.Close() // event streams end only when their connection is closed
	}
	return nil
}
