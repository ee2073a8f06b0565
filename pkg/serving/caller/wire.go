package caller

// wireProblem is the body of an error answer in OpenAI form.
type wireProblem struct {
	Error wireError `json:"error"`
}

type wireError struct {
	Message string `json:"message"`
	Type    string `json:"type"`
	Code    string `json:"code"`
	Outcome string `json:"outcome"`
}

func wireProblemOf(p *problem) wireProblem {
	return wireProblem{Error: wireError{
		Message: p.message,
		Type:    "almondbay",
		Code:    p.code,
		Outcome: string(p.outcome),
	}}
}

// wireRequest is the part of a generation request that the gateway reads.
type wireRequest struct {
	Model  string `json:"model"`
	Stream bool   `json:"stream"`
}

type wireModels struct {
	Object string      `json:"object"`
	Data   []wireModel `json:"data"`
}

type wireModel struct {
	ID      string `json:"id"`
	Object  string `json:"object"`
	OwnedBy string `json:"owned_by"`
}
