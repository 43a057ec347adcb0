package config

import (
	"errors"
	"fmt"
)

// Workload is what the backend servers of a pool are.
type Workload string

// Workloads.
const (
	// WorkloadModel is a pool of model engines.
	WorkloadModel Workload = "model"
	// WorkloadService is a pool of plain services.
	WorkloadService Workload = "service"
)

// Role is what an engine does within its pool.
type Role string

// Roles of engines.
const (
	RoleServe   Role = "serve"
	RolePrefill Role = "prefill"
	RoleDecode  Role = "decode"
)

// Desired is what each engine of a pool should run.
type Desired struct {
	Model   string `json:"model"`
	Adapter string `json:"adapter"`
	Version string `json:"version"`
	Role    Role   `json:"role"`
}

// Pool is a pool in the newest form. A field that the schema version of its object does not have
// holds its default.
type Pool struct {
	Name string
	// Schema and Revision identify the object that these values come from.
	Schema   uint32
	Revision uint64
	Workload Workload
	// LoadBound is the highest load of an engine as a multiple of the pool's mean.
	LoadBound float64
	// QueueSeconds is the longest time that a request waits for admission at a sidecar.
	QueueSeconds float64
	// OrganisationWeights override the organisations' own weights in this pool.
	OrganisationWeights map[string]float64
	// EnginesCheckFencing is set when the engines themselves refuse an order with an old number.
	EnginesCheckFencing bool
	// Desired is the zero value when the engines are left as they are.
	Desired Desired
	// ReuseWeight chooses between even load, 0, and cache reuse, 1.
	ReuseWeight float64
	// MaxLoadingShare is the largest share of the pool that loads weights at once.
	MaxLoadingShare float64
}

// poolV1 is the body of schema version 1.
type poolV1 struct {
	Workload     Workload `json:"workload"`
	LoadBound    float64  `json:"load_bound"`
	QueueSeconds float64  `json:"queue_seconds"`
}

// poolV2 is the body of schema version 2. It adds what orders to engines and the choice between
// reuse and skew need.
type poolV2 struct {
	poolV1
	OrganisationWeights map[string]float64 `json:"organisation_weights"`
	EnginesCheckFencing bool               `json:"engines_check_fencing"`
	Desired             Desired            `json:"desired"`
	ReuseWeight         float64            `json:"reuse_weight"`
	MaxLoadingShare     float64            `json:"max_loading_share"`
}

// defaultPool holds the values that a body does not give.
var defaultPool = poolV2{
	poolV1:          poolV1{LoadBound: 1.25, QueueSeconds: 2},
	ReuseWeight:     0.5,
	MaxLoadingShare: 0.1,
}

func parsePoolV1(body []byte) (any, error) {
	p := defaultPool
	if err := decode(body, &p.poolV1); err != nil {
		return nil, err
	}
	return p.pool(1), p.poolV1.check()
}

func parsePoolV2(body []byte) (any, error) {
	p := defaultPool
	if err := decode(body, &p); err != nil {
		return nil, err
	}
	return p.pool(2), p.check()
}

func (p *poolV2) pool(schema uint32) Pool {
	return Pool{
		Schema: schema, Workload: p.Workload, LoadBound: p.LoadBound, QueueSeconds: p.QueueSeconds,
		OrganisationWeights: p.OrganisationWeights, EnginesCheckFencing: p.EnginesCheckFencing,
		Desired: p.Desired, ReuseWeight: p.ReuseWeight, MaxLoadingShare: p.MaxLoadingShare,
	}
}

func (p *poolV1) check() error {
	var workload error
	if p.Workload != WorkloadModel && p.Workload != WorkloadService {
		workload = fmt.Errorf("workload is %q, must be %q or %q", p.Workload, WorkloadModel, WorkloadService)
	}
	return errors.Join(
		workload,
		within("load_bound", p.LoadBound, 1.01, 100),
		within("queue_seconds", p.QueueSeconds, 0, 600),
	)
}

func (p *poolV2) check() error {
	errs := []error{
		p.poolV1.check(),
		p.Desired.check(),
		within("reuse_weight", p.ReuseWeight, 0, 1),
		within("max_loading_share", p.MaxLoadingShare, 0.001, 1),
	}
	for organisation, weight := range p.OrganisationWeights {
		errs = append(errs, within("organisation_weights."+organisation, weight, 0.001, 1000))
	}
	return errors.Join(errs...)
}

func (d *Desired) check() error {
	if *d == (Desired{}) {
		return nil
	}
	var errs []error
	if d.Model == "" {
		errs = append(errs, errors.New("desired.model is missing"))
	}
	switch d.Role {
	case RoleServe, RolePrefill, RoleDecode:
	default:
		errs = append(errs, fmt.Errorf("desired.role is %q, must be %q, %q or %q", d.Role, RoleServe, RolePrefill, RoleDecode))
	}
	return errors.Join(errs...)
}
