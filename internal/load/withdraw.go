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

// withdraw withdraws one account's key during the run, where the settings say so.
func (r *runner) withdraw(ctx context.Context) {
	s := r.sender.settings
	if s.Oracles.WithdrawAccount == "" || !wait(ctx, s.Oracles.WithdrawAfter) {
		return
	}
	w := &Withdrawal{Account: s.Oracles.WithdrawAccount}
	if err := r.withdrawKey(ctx, w.Account); err != nil {
		w.Err = err.Error()
	}
	w.Accepted = r.sender.since()
	r.mu.Lock()
	r.trace.Withdrawn = w
	r.mu.Unlock()
}

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
	var last error
	for _, address := range s.Target.Operators {
		client := eelgrassv1connect.NewOperatorClient(http.DefaultClient, "http://"+address)
		request := connect.NewRequest(&pb.WithdrawKeyRequest{
			Meta: &pb.ChangeMeta{OperationId: "load-" + s.Run.Name + "-withdraw-" + id, Reason: "withdrawal during load"},
			Id:   id,
		})
		request.Header().Set("Authorization", "Bearer "+strings.TrimSpace(string(token)))
		if _, last = client.WithdrawKey(ctx, request); last == nil {
			return nil
		}
	}
	return last
}

func (r *runner) keyID(account string) (string, error) {
	for _, a := range r.accounts {
		if a.Name == account {
			t, err := keys.Parse(a.Key)
			return t.ID, err
		}
	}
	return "", errors.Newf("no client account %q sends load", account)
}
