package routeconfig

import (
	"fmt"

	"github.com/expr-lang/expr"
	"github.com/expr-lang/expr/vm"
)

// Bounds of a policy: the bytes of its text, and the nodes of its syntax tree.
const (
	maxPolicyBytes = 4 << 10
	maxPolicyNodes = 500
)

// PolicyInput is what a policy may look at.
type PolicyInput struct {
	Method string `expr:"method"`
	// Path and Query are raw.
	Path  string `expr:"path"`
	Query string `expr:"query"`
	// Caller is the service that the request comes from.
	Caller string `expr:"caller"`
	// BodyBytes is the announced length; -1 if there is none.
	BodyBytes int                 `expr:"bodyBytes"`
	Header    func(string) string `expr:"header"`
}

// Policy is a route's condition, compiled. It is safe for concurrent use.
type Policy struct{ program *vm.Program }

// CompilePolicy compiles a condition; an empty text is no policy, nil.
func CompilePolicy(text string) (*Policy, error) {
	if text == "" {
		return nil, nil
	}
	if len(text) > maxPolicyBytes {
		return nil, fmt.Errorf("a policy has %d bytes at most", maxPolicyBytes)
	}
	program, err := expr.Compile(text, expr.Env(PolicyInput{}), expr.AsBool(), expr.MaxNodes(maxPolicyNodes))
	if err != nil {
		return nil, err
	}
	return &Policy{program}, nil
}

// Allows evaluates the condition. Where that fails the request is barred, and
// the error says why.
func (p *Policy) Allows(input PolicyInput) (bool, error) {
	result, err := expr.Run(p.program, input)
	if err != nil {
		return false, Error.Wrap(err)
	}
	allowed, ok := result.(bool)
	return ok && allowed, nil
}
