// Package control serves operators: typed calls over connect-go, authenticated by
// bearer tokens, on every control replica. Changes go to the leader.
package control

import (
	"bufio"
	"context"
	"crypto/sha256"
	"crypto/subtle"
	"os"
	"strings"

	"eelgrasshollow/internal/errkind"

	"connectrpc.com/connect"
	"github.com/cockroachdb/errors"
)

// OperatorTokens knows the operators' tokens by hash.
type OperatorTokens struct{ byHash map[[sha256.Size]byte]string }

// LoadOperatorTokens reads lines "operator-name token"; # begins a comment.
func LoadOperatorTokens(path string) (*OperatorTokens, error) {
	f, err := os.Open(path)
	if err != nil {
		return nil, errors.Wrap(err, "operator tokens")
	}
	defer func() { _ = f.Close() }()
	o := &OperatorTokens{byHash: map[[sha256.Size]byte]string{}}
	lines := bufio.NewScanner(f)
	for n := 1; lines.Scan(); n++ {
		fields := strings.Fields(lines.Text())
		if len(fields) == 0 || strings.HasPrefix(fields[0], "#") {
			continue
		}
		if len(fields) != 2 {
			return nil, errkind.New(errkind.InvalidRequest, "operator tokens, line %d: want a name and a token", n)
		}
		o.byHash[sha256.Sum256([]byte(fields[1]))] = fields[0]
	}
	return o, errors.Wrap(lines.Err(), "operator tokens")
}

// Find returns the operator of a bearer token.
func (o *OperatorTokens) Find(token string) (string, bool) {
	hash := sha256.Sum256([]byte(token))
	found := ""
	for h, name := range o.byHash {
		if subtle.ConstantTimeCompare(h[:], hash[:]) == 1 {
			found = name
		}
	}
	return found, found != ""
}

type operatorKey struct{}

// operatorOf returns the authenticated operator of a call.
func operatorOf(ctx context.Context) string {
	name, _ := ctx.Value(operatorKey{}).(string)
	return name
}

// authenticate refuses calls without a known token and turns kinds into RPC errors.
func authenticate(o *OperatorTokens) connect.UnaryInterceptorFunc {
	return func(next connect.UnaryFunc) connect.UnaryFunc {
		return func(ctx context.Context, req connect.AnyRequest) (connect.AnyResponse, error) {
			token, _ := strings.CutPrefix(req.Header().Get("Authorization"), "Bearer ")
			name, ok := o.Find(token)
			if !ok {
				return nil, rpcError(errkind.New(errkind.Unauthenticated, "operator token is not valid"))
			}
			resp, err := next(context.WithValue(ctx, operatorKey{}, name), req)
			if err != nil {
				return nil, rpcError(err)
			}
			return resp, nil
		}
	}
}
