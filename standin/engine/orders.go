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

// Bounds of orders.
const (
	maxOrderBytes  = 64 << 10
	maxOrdersKept  = 1024
	statusOldOrder = http.StatusConflict
)

// Order is the body of POST /orders: what the engine is to serve.
type Order struct {
	Fencing uint64 `json:"fencing"`
	Model   string `json:"model"`
	Adapter string `json:"adapter"`
	Version string `json:"version"`
	Role    string `json:"role"`
}

// fingerprint names the weights in each answer.
func (o Order) fingerprint() string { return o.Model + "@" + o.Version + "+" + o.Adapter }

func (o Order) sameWeights(other Order) bool { return o.fingerprint() == other.fingerprint() }

// OrderState is the body of GET /orders and of the answer to POST /orders.
type OrderState struct {
	// Current is the order in force. Fencing is 0 before the first order since the last boot.
	Current Order `json:"current"`
	Loading bool  `json:"loading"`
	Boot    int   `json:"boot"`
	// Error is set when the order was refused.
	Error string `json:"error,omitempty"`
}

// OrderRecord is one received order.
type OrderRecord struct {
	Order   Order     `json:"order"`
	Applied bool      `json:"applied"`
	Boot    int       `json:"boot"`
	Time    time.Time `json:"time"`
}

// errRestarted is the error of an order that was cut short by a crash.
var errRestarted = errors.New("engine restarted during the order")

type orderState struct {
	current Order
	highest uint64 // highest fencing number seen since the boot
	loading int
	history []OrderRecord
}

// Orders returns the orders received since the last boot, oldest first.
func (e *Engine) Orders() []OrderRecord {
	e.mu.Lock()
	defer e.mu.Unlock()
	return append([]OrderRecord{}, e.orders.history...)
}

// OrderState returns the order in force.
func (e *Engine) OrderState() OrderState {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.orderAnswer()
}

func (e *Engine) orderAnswer() OrderState {
	return OrderState{Current: e.orders.current, Loading: e.orders.loading > 0, Boot: e.load.Boot}
}

func (e *Engine) serveOrderState(w http.ResponseWriter, _ *http.Request) {
	standin.WriteJSON(w, http.StatusOK, e.OrderState())
}

// serveOrder applies an order and answers after the weights are loaded. An order that has begun is
// applied even when its sender has gone. An old fencing number gets 409 where it is checked.
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
		standin.WriteJSON(w, statusOldOrder, state)
		return
	}
	standin.WriteJSON(w, http.StatusOK, state)
}

// beginOrder checks the fencing number and returns how long the load takes.
func (e *Engine) beginOrder(order Order) (boot int, wait time.Duration, err error) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if err := e.checkFencing(order); err != nil {
		return 0, 0, err
	}
	e.orders.highest = max(e.orders.highest, order.Fencing)
	e.orders.loading++
	if !order.sameWeights(e.orders.current) {
		wait = e.settings.OrderTime
	}
	return e.load.Boot, wait, nil
}

func (e *Engine) checkFencing(order Order) error {
	if !e.settings.CheckFencing || order.Fencing >= e.orders.highest {
		return nil
	}
	e.counters.OrdersRefused++
	e.record(order, false)
	return fmt.Errorf("fencing number %d is below %d", order.Fencing, e.orders.highest)
}

// applyOrder puts an order in force, unless the engine crashed meanwhile. Other weights make the
// cache useless.
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
	e.record(order, true)
	return nil
}

func (e *Engine) clearCache() {
	e.cache = newPrefixCache(e.cache.limit)
	e.groups = make(map[string][]uint64)
	e.addEvent(EventCleared, "", nil)
}

func (e *Engine) record(order Order, applied bool) {
	record := OrderRecord{order, applied, e.load.Boot, time.Now()}
	e.orders.history = append(e.orders.history, record)
	if len(e.orders.history) > maxOrdersKept {
		e.orders.history = slices.Delete(e.orders.history, 0, 1)
	}
}
