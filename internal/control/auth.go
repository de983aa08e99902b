// Package control implements the operator API: typed calls over connect-go,
// authenticated by bearer tokens, on every control replica. A replica forwards changes
// to the leader.
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

// OperatorTokens maps the hashes of operators' tokens to the operators' names.
type OperatorTokens struct{ byHash map[[sha256.Size]byte]string }

// LoadOperatorTokens reads a file of lines "operator-name token". A line that begins
// with # is a comment.
func LoadOperatorTokens(path string) (*OperatorTokens, error) {
	f, err := os.Open(path)
	if err != nil {
		return nil, errors.Wrap(err, "open operator tokens")
	}
	defer func() { _ = f.Close() }()
	o := &OperatorTokens{byHash: map[[sha256.Size]byte]string{}}
	lines := bufio.NewScanner(f)
	for line := 1; lines.Scan(); line++ {
		fields := strings.Fields(lines.Text())
		if len(fields) == 0 || strings.HasPrefix(fields[0], "#") {
			continue
		}
		if len(fields) != 2 {
			return nil, errkind.New(errkind.InvalidRequest, "operator tokens, line %d: expected a name and a token", line)
		}
		o.byHash[sha256.Sum256([]byte(fields[1]))] = fields[0]
	}
	return o, errors.Wrap(lines.Err(), "read operator tokens")
}

// Find returns the name of the operator that a bearer token belongs to, or false if the
// token is unknown. Each comparison of hashes takes constant time.
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

// operatorKey is the context key of the operator's name.
type operatorKey struct{}

// operatorOf returns the name of the authenticated operator of a call.
func operatorOf(ctx context.Context) string {
	name, _ := ctx.Value(operatorKey{}).(string)
	return name
}

// authenticate returns an interceptor that refuses calls without a valid token and
// converts errors to RPC errors that carry their kind.
func authenticate(o *OperatorTokens) connect.UnaryInterceptorFunc {
	return func(next connect.UnaryFunc) connect.UnaryFunc {
		return func(ctx context.Context, req connect.AnyRequest) (connect.AnyResponse, error) {
			token, _ := strings.CutPrefix(req.Header().Get("Authorization"), "Bearer ")
			name, ok := o.Find(token)
			if !ok {
				return nil, rpcError(errkind.New(errkind.Unauthenticated, "operator token is not valid"))
			}
			resp, err := next(context.WithValue(ctx, operatorKey{}, name), req)
			if connect.CodeOf(err) == connect.CodeUnimplemented {
				// Only connect's own error has no kind; it would be reported as an internal one.
				err = errkind.Wrap(err, errkind.Unsupported, "this control replica does not serve the call")
			}
			if err != nil {
				return nil, rpcError(err)
			}
			return resp, nil
		}
	}
}
