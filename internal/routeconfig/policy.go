package routeconfig

import (
	"fmt"

	"github.com/expr-lang/expr"
	"github.com/expr-lang/expr/vm"
)

const (
	// maxPolicyBytes is the maximum length of a policy's text.
	maxPolicyBytes = 4 << 10
	// maxPolicyNodes is the maximum number of nodes in a policy's syntax tree.
	maxPolicyNodes = 500
)

// PolicyInput holds the properties of a request that a policy can use.
type PolicyInput struct {
	// Method is the request's HTTP method.
	Method string `expr:"method"`
	// Path is the raw path, not percent-decoded.
	Path string `expr:"path"`
	// Query is the raw query, not percent-decoded.
	Query string `expr:"query"`
	// Caller is the name of the service that sent the request.
	Caller string `expr:"caller"`
	// BodyBytes is the declared content length; -1 if there is none.
	BodyBytes int `expr:"bodyBytes"`
	// Header returns the value of a request header.
	Header func(string) string `expr:"header"`
}

// Policy is the compiled condition under which a route accepts a request. It is safe
// for concurrent use.
type Policy struct{ program *vm.Program }

// CompilePolicy compiles a Boolean expression over the fields of PolicyInput. An empty
// text gives nil, which means no policy. It returns an error if the expression is
// invalid, not Boolean or exceeds the size limits.
func CompilePolicy(text string) (*Policy, error) {
	if text == "" {
		return nil, nil
	}
	if len(text) > maxPolicyBytes {
		return nil, fmt.Errorf("policy has %d bytes, more than the maximum of %d", len(text), maxPolicyBytes)
	}
	program, err := expr.Compile(text, expr.Env(PolicyInput{}), expr.AsBool(), expr.MaxNodes(maxPolicyNodes))
	if err != nil {
		return nil, err
	}
	return &Policy{program}, nil
}

// Allows reports whether the policy accepts the request. If the evaluation fails, it
// returns false and an error of class Error with the cause.
func (p *Policy) Allows(input PolicyInput) (bool, error) {
	result, err := expr.Run(p.program, input)
	if err != nil {
		return false, Error.Wrap(err)
	}
	allowed, ok := result.(bool)
	return ok && allowed, nil
}
