//go:build deps

// Package deps keeps modules in go.mod until the packages that use them land.
package deps

import (
	_ "github.com/BurntSushi/toml"
	_ "github.com/HdrHistogram/hdrhistogram-go"
	_ "github.com/alecthomas/kong"
	_ "github.com/anishathalye/porcupine"
	_ "github.com/cenkalti/backoff/v5"
	_ "github.com/cespare/xxhash/v2"
	_ "github.com/fxamacker/cbor/v2"
	_ "github.com/google/gopacket"
	_ "github.com/google/gopacket/layers"
	_ "github.com/prometheus/client_golang/prometheus"
	_ "github.com/prometheus/client_golang/prometheus/promhttp"
	_ "github.com/prometheus/client_golang/prometheus/testutil"
	_ "github.com/quic-go/quic-go"
	_ "github.com/quic-go/quic-go/http3"
	_ "go.uber.org/goleak"
	_ "go.uber.org/zap"
	_ "golang.org/x/sync/errgroup"
	_ "golang.org/x/time/rate"
	_ "gonum.org/v1/plot"
	_ "gonum.org/v1/plot/plotter"
	_ "gonum.org/v1/plot/vg/vgimg"
	_ "pgregory.net/rapid"
)
