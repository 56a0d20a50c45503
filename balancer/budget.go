package balancer

// Rates of the retry budget.
const (
	budgetPerRequest = 0.2
	budgetCap        = 50.0
)

// Budget bounds retries to a share of the requests seen, so that retries cannot
// multiply an overload. It is not safe for concurrent use.
type Budget struct {
	tokens float64
}

// NewBudget returns a full budget.
func NewBudget() *Budget { return &Budget{tokens: budgetCap} }

// Request adds the share that one request earns.
func (b *Budget) Request() { b.tokens = min(budgetCap, b.tokens+budgetPerRequest) }

// Spend takes one retry and reports false if the budget is used up.
func (b *Budget) Spend() bool {
	if b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}
