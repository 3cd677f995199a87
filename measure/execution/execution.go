package execution

import "time"

// Execution is one execution of one request at one target.
type Execution struct {
	Target   string    `json:"target"`
	Key      string    `json:"key"`
	Token    string    `json:"token"`
	Method   string    `json:"method"`
	Started  time.Time `json:"started"`
	Finished time.Time `json:"finished"`
	Complete bool      `json:"whole"`
	Drained  bool      `json:"drained"`
}
