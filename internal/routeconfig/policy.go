package routeconfig

import (
	"fmt"

	"github.com/expr-lang/expr"
	"github.com/expr-lang/expr/vm"
)

const maxPolicy = 4 << 10

// Asked is what a policy may look at.
type PolicyInput struct {
	Method    string              `expr:"method"`
	Path      string              `expr:"path"`
	Query     string              `expr:"query"`
	Caller    string              `expr:"caller"`
	BodyBytes int                 `expr:"bodyBytes"`
	Header    func(string) string `expr:"header"`
}

// Policy is a binding's condition as bytecode.
type Policy struct{ code *vm.Program }

func CompilePolicy(s string) (*Policy, error) {
	if s == "" {
		return nil, nil
	}
	if len(s) > maxPolicy {
		return nil, fmt.Errorf("a policy has %d bytes at most", maxPolicy)
	}
	c, err := expr.Compile(s, expr.Env(PolicyInput{}), expr.AsBool(), expr.MaxNodes(500))
	if err != nil {
		return nil, err
	}
	return &Policy{c}, nil
}

// Allows bars the request where the policy can't be worked out.
func (p *Policy) Allows(a PolicyInput) (bool, error) {
	v, err := expr.Run(p.code, a)
	if err != nil {
		return false, Error.Wrap(err)
	}
	b, ok := v.(bool)
	return ok && b, nil
}
