package settings

type wireSettings struct {
	Node              string   `json:"node"`
	FailureDomain     string   `json:"failureDomain"`
	Environment       string   `json:"environment"`
	CallerAddress     string   `json:"callerAddress"`
	OperatorAddress   string   `json:"operatorAddress"`
	OperatorKeyHashes []string `json:"operatorKeyHashes"`
	Platform          string   `json:"platform"`
}

func toSettings(w wireSettings) Settings {
	return Settings{
		Node:              w.Node,
		FailureDomain:     w.FailureDomain,
		Environment:       w.Environment,
		CallerAddress:     w.CallerAddress,
		OperatorAddress:   w.OperatorAddress,
		OperatorKeyHashes: w.OperatorKeyHashes,
		Platform:          w.Platform,
	}
}
