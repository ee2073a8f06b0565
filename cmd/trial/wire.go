package main

// wireResult is one trial in JSON. Times are in seconds.
type wireResult struct {
	Deployment     string  `json:"deployment"`
	Nodes          int     `json:"nodes"`
	Seed           uint64  `json:"seed"`
	Trial          string  `json:"trial"`
	Policy         string  `json:"policy"`
	Capacity       float64 `json:"capacity"`
	Requests       int     `json:"requests"`
	Good           float64 `json:"good"`
	Goodput        float64 `json:"goodput"`
	InShareWorst   float64 `json:"inShareWorst"`
	Fairness       float64 `json:"fairness"`
	Refused        float64 `json:"refused"`
	WronglyRefused float64 `json:"wronglyRefused"`
	GaveUp         float64 `json:"gaveUp"`
	Failed         float64 `json:"failed"`
	ShortWait50    float64 `json:"shortWait50"`
	ShortWait95    float64 `json:"shortWait95"`
	ShortWait99    float64 `json:"shortWait99"`
	FirstToken50   float64 `json:"firstToken50"`
	FirstToken95   float64 `json:"firstToken95"`
	FirstToken99   float64 `json:"firstToken99"`
	LongGood       float64 `json:"longGood"`
	Retried        int     `json:"retried"`
	RetriedGood    float64 `json:"retriedGood"`
	Messages       int     `json:"messages"`
}

func wireResultOf(r result) wireResult {
	f := r.figures
	return wireResult{
		Deployment:     r.config.Workload.Name,
		Nodes:          r.config.Nodes,
		Seed:           r.config.Seed,
		Trial:          r.label,
		Policy:         string(r.config.Policy),
		Capacity:       r.config.Capacity,
		Requests:       f.Requests,
		Good:           f.Good,
		Goodput:        f.Goodput,
		InShareWorst:   f.InShareWorst,
		Fairness:       f.Fairness,
		Refused:        f.Refused,
		WronglyRefused: f.WronglyRefused,
		GaveUp:         f.GaveUp,
		Failed:         f.Failed,
		ShortWait50:    f.ShortWait.P50.Seconds(),
		ShortWait95:    f.ShortWait.P95.Seconds(),
		ShortWait99:    f.ShortWait.P99.Seconds(),
		FirstToken50:   f.FirstToken.P50.Seconds(),
		FirstToken95:   f.FirstToken.P95.Seconds(),
		FirstToken99:   f.FirstToken.P99.Seconds(),
		LongGood:       f.LongGood,
		Retried:        f.Retried,
		RetriedGood:    f.RetriedGood,
		Messages:       f.Messages,
	}
}

// wireAdapterResult is one adapter trial in JSON. Times are in seconds.
type wireAdapterResult struct {
	Deployment string  `json:"deployment"`
	Seed       uint64  `json:"seed"`
	Capacity   int     `json:"room"`
	Policy     string  `json:"policy"`
	Requests   int     `json:"requests"`
	InTime     float64 `json:"inTime"`
	Hit        float64 `json:"hit"`
	Loads      int     `json:"loads"`
	Wait50     float64 `json:"wait50"`
	Wait95     float64 `json:"wait95"`
	Wait99     float64 `json:"wait99"`
}

func wireAdapterResultOf(r adapterResult) wireAdapterResult {
	f := r.figures
	return wireAdapterResult{
		Deployment: r.deployment,
		Seed:       r.seed,
		Capacity:   r.policy.Capacity,
		Policy:     r.policy.Name,
		Requests:   f.Requests,
		InTime:     f.InTime,
		Hit:        f.Hit,
		Loads:      f.Loads,
		Wait50:     f.Wait.P50.Seconds(),
		Wait95:     f.Wait.P95.Seconds(),
		Wait99:     f.Wait.P99.Seconds(),
	}
}
