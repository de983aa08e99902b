package entry

import (
	"eelgrasshollow/internal/errkind"
)

type modelBody struct {
	ID      string `json:"id"`
	Object  string `json:"object"`
	Created int64  `json:"created"`
	OwnedBy string `json:"owned_by"`
}

type modelList struct {
	Object string      `json:"object"`
	Data   []modelBody `json:"data"`
}

// allowedModels returns the models that the client may use.
func (f *Front) allowedModels(x *exchange) ([]modelBody, error) {
	x.route = "models"
	view, err := f.currentView()
	if err != nil {
		return nil, err
	}
	list := []modelBody{}
	var refused error
	for _, m := range view.Models() {
		route, ok := view.ModelRoute(m.GetName())
		if !ok {
			continue
		}
		account, err := f.admit(view, x.token, route)
		if err != nil {
			refused = err
			continue
		}
		x.account = account
		list = append(list, modelBody{ID: m.GetName(), Object: "model", OwnedBy: "eelgrasshollow"})
	}
	if len(list) == 0 && errkind.Is(refused, errkind.Unauthenticated) {
		return nil, refused
	}
	return list, nil
}

func (f *Front) models(x *exchange) error {
	list, err := f.allowedModels(x)
	if err != nil {
		return err
	}
	return f.writeJSON(x, modelList{"list", list})
}

func (f *Front) oneModel(x *exchange) error {
	list, err := f.allowedModels(x)
	if err != nil {
		return err
	}
	for _, m := range list {
		if m.ID == x.r.PathValue("model") {
			return f.writeJSON(x, m)
		}
	}
	return errkind.New(errkind.NotFound, "no such model")
}
