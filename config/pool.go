package config

import (
	"errors"
	"fmt"
)

// Workload is the type of the backend servers of a pool.
type Workload string

// Types of backend servers.
const (
	// WorkloadModel means that the backend servers are model engines.
	WorkloadModel Workload = "model"
	// WorkloadService means that the backend servers are ordinary services.
	WorkloadService Workload = "service"
)

// Role is the function of an engine within its pool.
type Role string

// Roles of engines.
const (
	RoleServe   Role = "serve"
	RolePrefill Role = "prefill"
	RoleDecode  Role = "decode"
)

// Desired is what every engine of a pool should run.
type Desired struct {
	Model   string `json:"model"`
	Adapter string `json:"adapter"`
	Version string `json:"version"`
	Role    Role   `json:"role"`
}

// Pool is the configuration of a pool, independent of the schema version. Fields that the schema version of
// the object lacks have their default values.
type Pool struct {
	Name string
	// Schema and Revision identify the object from which the values come.
	Schema   uint32
	Revision uint64
	Workload Workload
	// LoadBound is the maximum load of an engine as a multiple of the mean load of the pool.
	LoadBound float64
	// QueueSeconds is the maximum time that a request waits for admission at a sidecar.
	QueueSeconds float64
	// OrganisationWeights override the weights of organisations in this pool.
	OrganisationWeights map[string]float64
	// EnginesCheckFencing is set if the engines themselves refuse orders with an outdated fencing number.
	EnginesCheckFencing bool
	// Desired is the zero value if the engines keep what they run.
	Desired Desired
	// ReuseWeight sets the trade-off between even load, 0, and cache reuse, 1.
	ReuseWeight float64
	// MaxLoadingShare is the maximum share of the pool that loads weights at the same time.
	MaxLoadingShare float64
}

// poolV1 is the body of schema version 1.
type poolV1 struct {
	Workload     Workload `json:"workload"`
	LoadBound    float64  `json:"load_bound"`
	QueueSeconds float64  `json:"queue_seconds"`
}

// poolV2 is the body of schema version 2. It adds the settings for orders to engines and for the trade-off
// between cache reuse and even load.
type poolV2 struct {
	poolV1
	OrganisationWeights map[string]float64 `json:"organisation_weights"`
	EnginesCheckFencing bool               `json:"engines_check_fencing"`
	Desired             Desired            `json:"desired"`
	ReuseWeight         float64            `json:"reuse_weight"`
	MaxLoadingShare     float64            `json:"max_loading_share"`
}

// defaultPool holds the defaults of fields that a body omits.
var defaultPool = poolV2{
	poolV1:          poolV1{LoadBound: 1.25, QueueSeconds: 2},
	ReuseWeight:     0.5,
	MaxLoadingShare: 0.1,
}

func parsePoolV1(body []byte) (any, error) {
	p := defaultPool
	if err := decodeStrict(body, &p.poolV1); err != nil {
		return nil, err
	}
	return p.pool(1), p.poolV1.check()
}

func parsePoolV2(body []byte) (any, error) {
	p := defaultPool
	if err := decodeStrict(body, &p); err != nil {
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
		checkRange("load_bound", p.LoadBound, 1.01, 100),
		checkRange("queue_seconds", p.QueueSeconds, 0, 600),
	)
}

func (p *poolV2) check() error {
	errs := []error{
		p.poolV1.check(),
		p.Desired.check(),
		checkRange("reuse_weight", p.ReuseWeight, 0, 1),
		checkRange("max_loading_share", p.MaxLoadingShare, 0.001, 1),
	}
	for organisation, weight := range p.OrganisationWeights {
		errs = append(errs, checkRange("organisation_weights."+organisation, weight, 0.001, 1000))
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
