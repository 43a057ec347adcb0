package engine

import (
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
	"slices"
	"time"

	"jacinthfork.example/jacinthfork/standin"
)

// Limits and status codes of the orders endpoint.
const (
	maxOrderBytes    = 64 << 10
	maxOrderHistory  = 1024
	statusStaleOrder = http.StatusConflict
)

// Order is the body of POST /orders. It says which model, adapter and version the engine must serve.
type Order struct {
	Fencing uint64 `json:"fencing"`
	Model   string `json:"model"`
	Adapter string `json:"adapter"`
	Version string `json:"version"`
	Role    string `json:"role"`
}

// fingerprint identifies the weights. It is the system_fingerprint of each response.
func (o Order) fingerprint() string { return o.Model + "@" + o.Version + "+" + o.Adapter }

func (o Order) sameWeights(other Order) bool { return o.fingerprint() == other.fingerprint() }

// OrderState is the body of GET /orders and of the response to POST /orders.
type OrderState struct {
	// Current is the order in force. Its fencing number is 0 until the first order after a boot.
	Current Order `json:"current"`
	Loading bool  `json:"loading"`
	Boot    int   `json:"boot"`
	// Error is set if the order was refused.
	Error string `json:"error,omitempty"`
}

// OrderRecord is one received order and whether it was applied.
type OrderRecord struct {
	Order   Order     `json:"order"`
	Applied bool      `json:"applied"`
	Boot    int       `json:"boot"`
	Time    time.Time `json:"time"`
}

// errRestarted means that a crash interrupted the order.
var errRestarted = errors.New("engine restarted during the order")

type orderState struct {
	current        Order
	highestFencing uint64 // highest fencing number received since the last boot
	loading        int    // number of orders being applied
	history        []OrderRecord
}

// Orders returns the orders received since the last boot, oldest first.
func (e *Engine) Orders() []OrderRecord {
	e.mu.Lock()
	defer e.mu.Unlock()
	return append([]OrderRecord{}, e.orders.history...)
}

// OrderState returns the order in force and whether the engine is loading weights.
func (e *Engine) OrderState() OrderState {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.orderStateLocked()
}

// orderStateLocked implements OrderState. The caller holds mu.
func (e *Engine) orderStateLocked() OrderState {
	return OrderState{Current: e.orders.current, Loading: e.orders.loading > 0, Boot: e.load.Boot}
}

func (e *Engine) serveOrderState(w http.ResponseWriter, _ *http.Request) {
	standin.WriteJSON(w, http.StatusOK, e.OrderState())
}

// serveOrder applies an order and responds once the weights are loaded. Once loading has begun, the order is
// applied even if the client disconnects. An old fencing number gets status 409 if CheckFencing is set.
func (e *Engine) serveOrder(w http.ResponseWriter, r *http.Request) {
	var order Order
	err := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxOrderBytes)).Decode(&order)
	if err != nil {
		standin.WriteError(w, http.StatusBadRequest, err)
		return
	}
	boot, wait, err := e.beginOrder(order)
	if err == nil {
		time.Sleep(wait)
		err = e.applyOrder(order, boot)
	}
	if errors.Is(err, errRestarted) {
		standin.Abort()
	}
	state := e.OrderState()
	if err != nil {
		state.Error = err.Error()
		standin.WriteJSON(w, statusStaleOrder, state)
		return
	}
	standin.WriteJSON(w, http.StatusOK, state)
}

// beginOrder checks the fencing number and returns the current boot number and how long loading the
// weights takes.
func (e *Engine) beginOrder(order Order) (boot int, wait time.Duration, err error) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if err := e.checkFencing(order); err != nil {
		return 0, 0, err
	}
	e.orders.highestFencing = max(e.orders.highestFencing, order.Fencing)
	e.orders.loading++
	if !order.sameWeights(e.orders.current) {
		wait = e.settings.OrderTime
	}
	return e.load.Boot, wait, nil
}

// checkFencing refuses an order with a fencing number below the highest one received, if CheckFencing is
// set. The caller holds mu.
func (e *Engine) checkFencing(order Order) error {
	if !e.settings.CheckFencing || order.Fencing >= e.orders.highestFencing {
		return nil
	}
	e.counters.OrdersRefused++
	e.recordOrder(order, false)
	return fmt.Errorf("fencing number %d is below %d", order.Fencing, e.orders.highestFencing)
}

// applyOrder puts an order in force unless the engine has crashed since beginOrder. Loading different
// weights clears the cache, because its blocks belong to the old weights.
func (e *Engine) applyOrder(order Order, boot int) error {
	e.mu.Lock()
	defer e.mu.Unlock()
	if boot != e.load.Boot {
		return errRestarted
	}
	e.orders.loading--
	if err := e.checkFencing(order); err != nil {
		return err
	}
	if order.Fencing < e.orders.current.Fencing {
		e.counters.FencingRegressions++
	}
	if !order.sameWeights(e.orders.current) {
		e.clearCache()
	}
	e.orders.current = order
	e.counters.OrdersApplied++
	e.recordOrder(order, true)
	return nil
}

func (e *Engine) clearCache() {
	e.cache = newPrefixCache(e.cache.maxBlocks)
	e.groups = make(map[string][]uint64)
	e.addEvent(EventCleared, "", nil)
}

func (e *Engine) recordOrder(order Order, applied bool) {
	record := OrderRecord{order, applied, e.load.Boot, time.Now()}
	e.orders.history = append(e.orders.history, record)
	if len(e.orders.history) > maxOrderHistory {
		e.orders.history = slices.Delete(e.orders.history, 0, 1)
	}
}
