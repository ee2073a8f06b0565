package attempt

import "time"

// BudgetConfig sets the retry budget of each workspace.
type BudgetConfig struct {
	// Ratio is the number of retries that one success pays for, in [0, 1].
	Ratio float64
	// PerSecond is the number of retries allowed in a second without any
	// success, so that a quiet workspace can retry at all.
	PerSecond float64
	// Max bounds the retries saved up; it is also what a workspace starts
	// with.
	Max float64
}

// DefaultBudgetConfig returns the budget that a node uses unless told
// otherwise.
func DefaultBudgetConfig() BudgetConfig {
	return BudgetConfig{Ratio: 0.1, PerSecond: 1, Max: 20}
}

type balance struct {
	// retries is in [0, Max].
	retries   float64
	updatedAt time.Time
}

// Budgets holds the retry budgets of all workspaces. It is safe for use by
// several goroutines.
type Budgets struct {
	config   BudgetConfig
	balances *table[string, balance]
}

// NewBudgets returns full budgets.
func NewBudgets(c BudgetConfig) *Budgets {
	return &Budgets{config: c, balances: newTable[string, balance](hashString)}
}

// Deposit adds the share of one success.
func (b *Budgets) Deposit(workspace string, now time.Time) {
	b.balances.with(workspace, func(rows map[string]balance) {
		l := b.accrued(rows, workspace, now)
		l.retries = min(b.config.Max, l.retries+b.config.Ratio)
		rows[workspace] = l
	})
}

// Withdraw takes one retry. It reports false when none is left.
func (b *Budgets) Withdraw(workspace string, now time.Time) bool {
	allowed := false
	b.balances.with(workspace, func(rows map[string]balance) {
		l := b.accrued(rows, workspace, now)
		allowed = l.retries >= 1
		if allowed {
			l.retries--
		}
		rows[workspace] = l
	})
	return allowed
}

func (b *Budgets) accrued(rows map[string]balance, workspace string, now time.Time) balance {
	l, ok := rows[workspace]
	if !ok {
		return balance{retries: b.config.Max, updatedAt: now}
	}
	if elapsed := now.Sub(l.updatedAt); elapsed > 0 {
		l.retries = min(b.config.Max, l.retries+elapsed.Seconds()*b.config.PerSecond)
		l.updatedAt = now
	}
	return l
}
