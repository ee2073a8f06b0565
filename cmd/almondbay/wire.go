package main

import "encoding/json"

type wireDevLine struct {
	Address      string `json:"address"`
	Key          string `json:"key"`
	Model        string `json:"model"`
	AdminAddress string `json:"adminAddress"`
	AdminKey     string `json:"adminKey"`
}

// devLine returns the line that tells a script how to reach the dev node.
func devLine(address, adminAddress, key, adminKey string) string {
	line, err := json.Marshal(wireDevLine{
		Address:      address,
		Key:          key,
		Model:        devModel,
		AdminAddress: adminAddress,
		AdminKey:     adminKey,
	})
	if err != nil {
		panic(err)
	}
	return string(line)
}
