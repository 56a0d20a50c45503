package structs

import (
	"fmt"
	"strconv"
	"strings"

	"github.com/rotisserie/eris"
)

// Limits of a shape, checked at every entry point.
const (
	// MaxMembers bounds the workers of a gang.
	MaxMembers = 128
	// MaxAcceleratorsPerMember bounds the accelerators that each member requests.
	MaxAcceleratorsPerMember = 64
)

// Shape is the form of a gang: Members distinct workers with Accelerators each.
type Shape struct {
	Members      int  `json:"members"`
	Accelerators int  `json:"accelerators"`
	Adjacent     bool `json:"adjacent,omitempty"` // all members in one rack
}

// Total returns the number of accelerators of all members.
func (s Shape) Total() int { return s.Members * s.Accelerators }

// String formats the shape as MEMBERSxACCELERATORS.
func (s Shape) String() string { return fmt.Sprintf("%dx%d", s.Members, s.Accelerators) }

// Validate returns an error if the shape exceeds the limits.
func (s Shape) Validate() error {
	if s.Members < 1 || s.Members > MaxMembers {
		return eris.Errorf("members %d is outside 1..%d", s.Members, MaxMembers)
	}
	if s.Accelerators < 1 || s.Accelerators > MaxAcceleratorsPerMember {
		return eris.Errorf("accelerators %d is outside 1..%d", s.Accelerators, MaxAcceleratorsPerMember)
	}
	return nil
}

// ParseShape parses MEMBERSxACCELERATORS, such as 4x8, as an adjacent shape.
func ParseShape(text string) (Shape, error) {
	left, right, found := strings.Cut(strings.TrimSpace(text), "x")
	if !found {
		return Shape{}, eris.Errorf("shape %q is not MEMBERSxACCELERATORS", text)
	}
	members, err := strconv.Atoi(left)
	if err != nil {
		return Shape{}, eris.Errorf("shape %q has no whole number of members", text)
	}
	accelerators, err := strconv.Atoi(right)
	if err != nil {
		return Shape{}, eris.Errorf("shape %q has no whole number of accelerators", text)
	}
	shape := Shape{Members: members, Accelerators: accelerators, Adjacent: true}
	return shape, shape.Validate()
}
