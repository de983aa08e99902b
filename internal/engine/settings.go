package engine

import (
	"time"

	"eelgrasshollow/internal/settings"
)

// Settings is the [engine] section: timeouts and limits of the client for endpoints.
type Settings struct {
	ConnectTimeout     time.Duration  `ini:"connect_timeout" default:"1s" min:"10ms" max:"30s" doc:"Time to open a connection to an endpoint."`
	FirstByteTimeout   time.Duration  `ini:"first_byte" default:"10s" min:"100ms" max:"10m" doc:"Time an endpoint may take to the first byte of an answer, for an empty prompt."`
	TimePerPromptToken time.Duration  `ini:"prompt_time" default:"200us" min:"1us" max:"1s" doc:"Time for each prompt token, beyond first_byte."`
	SilenceTimeout     time.Duration  `ini:"silence" default:"5s" min:"50ms" max:"5m" doc:"Time a streaming endpoint may say nothing."`
	AckTimeout         time.Duration  `ini:"acknowledge" default:"3s" min:"100ms" max:"1m" doc:"Time that sent bytes may stay unacknowledged, and in which an idle connection is found dead."`
	IdleTimeout        time.Duration  `ini:"idle" default:"0s" min:"0s" max:"5m" doc:"Time an unused connection for requests is kept; 0 opens one for each request, so that none meets a connection that has gone silent."`
	TimePerOutputToken time.Duration  `ini:"token_time" default:"250ms" min:"1ms" max:"10s" doc:"Time for each output token of an answer in one piece, beyond that to the first byte."`
	PlainTimeout       time.Duration  `ini:"plain_answer" default:"10s" min:"50ms" max:"10m" doc:"Time a plain service may take to answer."`
	MaxEvent           settings.Bytes `ini:"max_event" default:"1 MiB" min:"1 KiB" max:"64 MiB" doc:"Greatest event of a stream."`
	MaxAnswer          settings.Bytes `ini:"max_answer" default:"16 MiB" min:"1 KiB" max:"1 GiB" doc:"Greatest answer in one piece."`
	MaxHeader          settings.Bytes `ini:"max_header" default:"64 KiB" min:"1 KiB" max:"1 MiB" doc:"Greatest header of an answer."`
	IdleConnections    int            `ini:"idle_connections" default:"256" min:"1" max:"100000" doc:"Unused connections kept per endpoint."`
	RequireEcho        bool           `ini:"require_echo" default:"true" doc:"Refuse an answer that does not carry its request's ID back; if not, each request has a connection of its own."`
}
