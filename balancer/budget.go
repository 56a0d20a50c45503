package balancer

// Rates of the retry budget.
const (
	budgetPerRequest = 0.2
	budgetCap        = 50.0
)

// RetryBudget limits retries to a fraction of the requests, so that retries do not amplify
// an overload. It is not safe for concurrent use.
type RetryBudget struct {
	tokens float64
}

// NewRetryBudget returns a full budget.
func NewRetryBudget() *RetryBudget { return &RetryBudget{tokens: budgetCap} }

// AddRequest adds the fraction of a retry that one request earns.
func (b *RetryBudget) AddRequest() { b.tokens = min(budgetCap, b.tokens+budgetPerRequest) }

// TrySpend consumes one retry. It returns false if the budget is exhausted.
func (b *RetryBudget) TrySpend() bool {
	if b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}
