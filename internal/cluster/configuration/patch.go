package configuration

import "fmt"

// MaxItems is the largest number of items in a call.
const MaxItems = 4 << 20

// versionDigits is the length of a generation, which is a version in hexadecimal digits.
const versionDigits = 8

// ReadPatch parses the body of PATCH /config. It returns the items of upsert as they were sent, and those of remove as
// deleted items. It does not check what their bodies say; Snapshot.Validate does.
//
// Errors are *RejectionError with status 400: the body cannot be parsed completely, has an unknown section, or makes
// contradictory statements about an item. An item that is both set and removed under different versions is not an
// error, because the higher version wins. The result does not refer to the body.
func ReadPatch(body []byte) ([]Item, error) {
	p := patchReader{jsonReader: jsonReader{text: body}, seen: map[Key]int{}}
	given := map[string]bool{}
	err := p.object(func(name string) error {
		if given[name] {
			return p.fail(fmt.Sprintf("%.40q given twice", name))
		}
		given[name] = true
		switch name {
		case "upsert":
			return p.upsert()
		case "remove":
			return p.remove()
		}
		return p.fail(fmt.Sprintf("unknown: %.40q", name))
	})
	if err == nil {
		err = p.end()
	}
	if err != nil {
		return nil, invalid("the call cannot be read whole: %v", err)
	}
	return p.items, nil
}

// patchReader reads the items of a call.
type patchReader struct {
	jsonReader
	items []Item
	seen  map[Key]int // index in items of the last item with each key
}

func (p *patchReader) upsert() error {
	given := map[string]bool{}
	return p.object(func(section string) error {
		kind, ok := sections[section]
		if !ok || given[section] {
			return p.fail(fmt.Sprintf("upsert: unknown or given twice: %.40q", section))
		}
		given[section] = true
		if kind == Limits {
			return p.upsertItem(Key{Kind: Limits})
		}
		return p.object(func(name string) error { return p.upsertItem(Key{kind, name}) })
	})
}

// upsertItem reads the body of an item.
func (p *patchReader) upsertItem(k Key) error {
	start := p.offset
	v, err := p.value(0)
	if err != nil {
		return fmt.Errorf("%v: %w", k, err)
	}
	fields, ok := v.(map[string]any)
	if !ok {
		return fmt.Errorf("%v: not an object", k)
	}
	return p.add(Item{Key: k, Body: compactJSON(p.text[start:p.offset])}, fields["generation"])
}

func (p *patchReader) remove() error {
	given := map[string]bool{}
	return p.object(func(section string) error {
		kind, ok := sections[section]
		if !ok || kind == Limits || given[section] {
			return p.fail(fmt.Sprintf("remove: unknown or given twice: %.40q", section))
		}
		given[section] = true
		return p.array(func(index int) error {
			v, err := p.value(0)
			if err != nil {
				return fmt.Errorf("remove %s %d: %w", section, index, err)
			}
			fields, _ := v.(map[string]any)
			name, ok := fields["name"].(string)
			if !ok {
				return fmt.Errorf("remove %s %d: no name", section, index)
			}
			return p.add(Item{Key: Key{kind, name}, Deleted: true}, fields["generation"])
		})
	})
}

// add appends an item whose version is the given generation.
func (p *patchReader) add(i Item, generation any) error {
	digits, _ := generation.(string)
	version, ok := parseHex(digits)
	if !ok || len(digits) != versionDigits {
		return fmt.Errorf("%v: generation: not eight hexadecimal digits", i.Key)
	}
	i.Version = version
	if err := i.Key.checkName(); err != nil {
		return fmt.Errorf("%v: %w", i.Key, err)
	}
	if len(i.Body) > MaxBodyBytes {
		return fmt.Errorf("%v: %w", i.Key, errBodyTooLong)
	}
	if index, twice := p.seen[i.Key]; twice {
		switch old := p.items[index]; {
		case i.SameContent(old):
			return nil
		case i.Version == old.Version || i.Deleted == old.Deleted:
			return fmt.Errorf("%v: given twice", i.Key)
		}
	}
	if len(p.items) == MaxItems {
		return errTooManyItems
	}
	p.seen[i.Key] = len(p.items)
	p.items = append(p.items, i)
	return nil
}
