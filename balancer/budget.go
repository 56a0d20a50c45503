package balancer

// Rates of the retry budget.
const (
	budgetPerRequest = 0.2
	budgetCap        = 50.0
)

// Budget limits retries to a fraction of the requests, so that retries do not amplify
// an overload. It is not safe for concurrent use.
type Budget struct {
	tokens float64
}

// NewBudget returns a full budget.
func NewBudget() *Budget { return &Budget{tokens: budgetCap} }

// Request adds the fraction of a retry that one request earns.
func (b *Budget) Request() { b.tokens = min(budgetCap, b.tokens+budgetPerRequest) }

// Spend consumes one retry. It returns false if the budget is exhausted.
func (b *Budget) Spend() bool {
	if b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}
