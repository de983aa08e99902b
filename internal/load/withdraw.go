package load

import (
	"context"
	"net/http"
	"os"
	"strings"

	"connectrpc.com/connect"
	"github.com/cockroachdb/errors"

	pb "eelgrasshollow/gen/eelgrass/v1"
	"eelgrasshollow/gen/eelgrass/v1/eelgrassv1connect"
	"eelgrasshollow/internal/keys"
)

// withdraw withdraws the key of the account that the settings name, if any, after the set
// time, and records the result in the trace.
func (r *runner) withdraw(ctx context.Context) {
	s := r.sender.settings
	if s.Oracles.WithdrawAccount == "" || !sleepContext(ctx, s.Oracles.WithdrawAfter) {
		return
	}
	w := &Withdrawal{Account: s.Oracles.WithdrawAccount}
	if err := r.withdrawKey(ctx, w.Account); err != nil {
		w.Err = err.Error()
	}
	w.Accepted = r.sender.elapsed()
	r.mu.Lock()
	r.trace.Withdrawn = w
	r.mu.Unlock()
}

// withdrawKey sends the withdrawal to the operator addresses in turn until one accepts it.
func (r *runner) withdrawKey(ctx context.Context, account string) error {
	s := r.sender.settings
	id, err := r.keyID(account)
	if err != nil {
		return err
	}
	token, err := os.ReadFile(s.Target.OperatorTokenFile)
	if err != nil {
		return errors.Wrap(err, "read operator token")
	}
	var lastErr error
	for _, address := range s.Target.Operators {
		client := eelgrassv1connect.NewOperatorClient(http.DefaultClient, "http://"+address)
		request := connect.NewRequest(&pb.WithdrawKeyRequest{
			Meta: &pb.ChangeMeta{OperationId: "load-" + s.Run.Name + "-withdraw-" + id, Reason: "withdrawal during load"},
			Id:   id,
		})
		request.Header().Set("Authorization", "Bearer "+strings.TrimSpace(string(token)))
		if _, lastErr = client.WithdrawKey(ctx, request); lastErr == nil {
			return nil
		}
	}
	return lastErr
}

// keyID returns the ID of an account's key.
func (r *runner) keyID(account string) (string, error) {
	for _, a := range r.accounts {
		if a.Name == account {
			key, err := keys.Parse(a.Key)
			return key.ID, err
		}
	}
	return "", errors.Newf("no client account %q sends load", account)
}
