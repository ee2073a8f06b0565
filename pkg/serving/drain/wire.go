package drain

import "time"

type wireDrain struct {
	Author      string    `json:"author"`
	RequestedAt time.Time `json:"requestedAt"`
}
