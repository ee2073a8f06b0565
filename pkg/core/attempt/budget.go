package attempt

import "time"

// BudgetConfig configures the retry budget of each workspace, a token bucket
// with one token per retry.
type BudgetConfig struct {
	// Ratio is the number of retries that one success adds, in [0, 1].
	Ratio float64
	// PerSecond is the number of retries added each second regardless of
	// successes, so that a workspace with little traffic can retry at all.
	PerSecond float64
	// Max is the capacity of the budget, and its initial value.
	Max float64
}

// DefaultBudgetConfig returns the default configuration of a node.
func DefaultBudgetConfig() BudgetConfig {
	return BudgetConfig{Ratio: 0.1, PerSecond: 1, Max: 20}
}

type balance struct {
	// retries is the number of retries available, in [0, Max].
	retries   float64
	updatedAt time.Time
}

// Budgets holds the retry budgets of all workspaces. It is safe for concurrent
// use.
type Budgets struct {
	config   BudgetConfig
	balances *shardedMap[string, balance]
}

// NewBudgets returns budgets that are full for every workspace.
func NewBudgets(c BudgetConfig) *Budgets {
	return &Budgets{config: c, balances: newShardedMap[string, balance](hashString)}
}

// Deposit adds Ratio retries for one success.
func (b *Budgets) Deposit(workspace string, now time.Time) {
	b.balances.with(workspace, func(entries map[string]balance) {
		bal := b.accrued(entries, workspace, now)
		bal.retries = min(b.config.Max, bal.retries+b.config.Ratio)
		entries[workspace] = bal
	})
}

// Withdraw takes one retry from the budget. It reports false when less than one
// is available.
func (b *Budgets) Withdraw(workspace string, now time.Time) bool {
	allowed := false
	b.balances.with(workspace, func(entries map[string]balance) {
		bal := b.accrued(entries, workspace, now)
		allowed = bal.retries >= 1
		if allowed {
			bal.retries--
		}
		entries[workspace] = bal
	})
	return allowed
}

// accrued returns the balance of a workspace including the retries added since
// its last update.
func (b *Budgets) accrued(entries map[string]balance, workspace string, now time.Time) balance {
	bal, ok := entries[workspace]
	if !ok {
		return balance{retries: b.config.Max, updatedAt: now}
	}
	if elapsed := now.Sub(bal.updatedAt); elapsed > 0 {
		bal.retries = min(b.config.Max, bal.retries+elapsed.Seconds()*b.config.PerSecond)
		bal.updatedAt = now
	}
	return bal
}
