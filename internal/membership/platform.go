package membership

import (
	"context"
	"encoding/json"
	"net/http"
	"time"

	"eelgrasshollow/internal/engineapi"
	"eelgrasshollow/internal/errkind"
	"eelgrasshollow/internal/strictresponse"

	"github.com/cockroachdb/errors"
)

// maxListBytes bounds the size of the platform's response.
const maxListBytes = 8 << 20

// platformTimeout bounds one request to the platform.
const platformTimeout = 2 * time.Second

// PlatformClient reads the platform's list of VMs. The list lags behind the VMs' real
// state.
type PlatformClient struct {
	client *http.Client
	url    string
}

// NewPlatformClient returns a client of the platform at address (IP and port).
func NewPlatformClient(address string) *PlatformClient {
	transport := http.DefaultTransport.(*http.Transport).Clone()
	return &PlatformClient{client: &http.Client{Timeout: platformTimeout, Transport: strictresponse.New(transport)}, url: "http://" + address + "/vms"}
}

// List fetches the list. A failed request is errkind EndpointFailed.
func (p *PlatformClient) List(ctx context.Context) (engineapi.VMList, error) {
	var list engineapi.VMList
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, p.url, nil)
	if err != nil {
		return list, errors.Wrap(err, "create VM list request")
	}
	resp, err := p.client.Do(req)
	if err != nil {
		return list, errkind.Wrap(err, errkind.EndpointFailed, "request the platform's VM list")
	}
	defer func() { _ = resp.Body.Close() }()
	if resp.StatusCode != http.StatusOK {
		return list, errkind.New(errkind.EndpointFailed, "request the platform's VM list: status %d", resp.StatusCode)
	}
	err = json.NewDecoder(http.MaxBytesReader(nil, resp.Body, maxListBytes)).Decode(&list)
	return list, errors.Wrap(err, "decode the platform's VM list")
}

// LeavingNames returns the names and addresses of the VMs that list marks as leaving.
func LeavingNames(list engineapi.VMList) map[string]bool {
	out := map[string]bool{}
	for _, vm := range list.VMs {
		if vm.State == engineapi.VMLeaving {
			out[vm.Name] = true
			if vm.Address != "" {
				out[vm.Address] = true
			}
		}
	}
	return out
}
