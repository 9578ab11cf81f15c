package fleet

import "fmt"

// FieldError reports a field whose value is invalid.
type FieldError struct {
	Type   string
	Field  string
	Reason string
}

// Error returns "Type.Field: reason".
func (e *FieldError) Error() string {
	return fmt.Sprintf("%s.%s: %s", e.Type, e.Field, e.Reason)
}

// UnknownError reports a reference to something that does not exist.
type UnknownError struct {
	Type string
	Name string
}

// Error returns "unknown", the type and the quoted name.
func (e *UnknownError) Error() string {
	return fmt.Sprintf("unknown %s %q", e.Type, e.Name)
}
