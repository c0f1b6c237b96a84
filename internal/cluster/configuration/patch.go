package configuration

import (
	"errors"
	"fmt"
)

// RejectionError is why a call of the operator takes no effect: no part of it does. It is an error, and the whole
// answer.
type RejectionError struct {
	Status int    // 400: it is invalid; 409: another operator has said something else under the same version
	Text   string // for the operator: short, one line
}

func (r *RejectionError) Error() string { return r.Text }

func invalid(format string, args ...any) *RejectionError {
	return &RejectionError{Status: 400, Text: fmt.Sprintf(format, args...)}
}

// MaxItems is how many items one call may bring.
const MaxItems = 4 << 20

// sections are the kinds as the operator's calls name them.
var sections = map[string]Kind{"routes": Routes, "customers": Tenants, "services": Services, "limits": Limits}

func (k Kind) String() string {
	for name, kind := range sections {
		if kind == k {
			return name
		}
	}
	return "unknown"
}

// String is how texts for the operator name an item.
func (k Key) String() string {
	if k.Kind == Limits && k.Name == "" {
		return "limits"
	}
	return fmt.Sprintf("%s %.80q", k.Kind, k.Name)
}

// ReadPatch reads the body of PATCH /config: the items of upsert as they were sent, and those of remove as dropped
// ones. Whether they say anything of use is for Check to tell. Errors are *Refusal with status 400: the body cannot
// be read whole, names a part that there is none of, or says two things of one item. An item that is set once and
// dropped once under another version is none of these: the higher version holds. Nothing that is returned points into
// the body.
func ReadPatch(body []byte) ([]Item, error) {
	p := patch{jsonReader: jsonReader{b: body}, seen: map[Key]int{}}
	given := map[string]bool{}
	err := p.object(func(name string) error {
		if given[name] {
			return p.wrong(fmt.Sprintf("%.40q given twice", name))
		}
		given[name] = true
		switch name {
		case "upsert":
			return p.upsert()
		case "remove":
			return p.remove()
		}
		return p.wrong(fmt.Sprintf("unknown: %.40q", name))
	})
	if err == nil {
		err = p.end()
	}
	if err != nil {
		return nil, invalid("the call cannot be read whole: %v", err)
	}
	return p.items, nil
}

type patch struct {
	jsonReader
	items []Item
	seen  map[Key]int // where an item of that name is
}

func (p *patch) upsert() error {
	given := map[string]bool{}
	return p.object(func(section string) error {
		kind, ok := sections[section]
		if !ok || given[section] {
			return p.wrong(fmt.Sprintf("upsert: unknown or given twice: %.40q", section))
		}
		given[section] = true
		if kind == Limits {
			return p.set(Key{Kind: Limits})
		}
		return p.object(func(name string) error { return p.set(Key{kind, name}) })
	})
}

// set reads the body of an item.
func (p *patch) set(k Key) error {
	from := p.at
	v, err := p.value(0)
	if err != nil {
		return fmt.Errorf("%v: %w", k, err)
	}
	m, ok := v.(map[string]any)
	if !ok {
		return fmt.Errorf("%v: not an object", k)
	}
	return p.add(Item{Key: k, Body: compacted(p.b[from:p.at])}, m["generation"])
}

func (p *patch) remove() error {
	given := map[string]bool{}
	return p.object(func(section string) error {
		kind, ok := sections[section]
		if !ok || kind == Limits || given[section] {
			return p.wrong(fmt.Sprintf("remove: unknown or given twice: %.40q", section))
		}
		given[section] = true
		return p.array(func(n int) error {
			v, err := p.value(0)
			if err != nil {
				return fmt.Errorf("remove %s %d: %w", section, n, err)
			}
			m, _ := v.(map[string]any)
			name, ok := m["name"].(string)
			if !ok {
				return fmt.Errorf("remove %s %d: no name", section, n)
			}
			return p.add(Item{Key: Key{kind, name}, Deleted: true}, m["generation"])
		})
	})
}

func (p *patch) add(i Item, generation any) error {
	digits, _ := generation.(string)
	version, ok := hex(digits)
	if !ok || len(digits) != 8 {
		return fmt.Errorf("%v: generation: not eight hexadecimal digits", i.Key)
	}
	i.Version = version
	if err := checkName(i.Key); err != nil {
		return fmt.Errorf("%v: %w", i.Key, err)
	}
	if len(i.Body) > MaxBodyBytes {
		return fmt.Errorf("%v: too long", i.Key)
	}
	if at, twice := p.seen[i.Key]; twice {
		switch old := p.items[at]; {
		case i.SameContent(old):
			return nil
		case i.Version == old.Version || i.Deleted == old.Deleted:
			return fmt.Errorf("%v: given twice", i.Key)
		}
	}
	if len(p.items) == MaxItems {
		return errors.New("too many items")
	}
	p.seen[i.Key] = len(p.items)
	p.items = append(p.items, i)
	return nil
}
