package settings

import (
	"cmp"
	"fmt"
	"math"

	"mulleinrouter/internal/standalone/jsontext"
)

// jsonObject is a JSON object that is decoded without a schema, so that missing keys can be told from zero values.
type jsonObject = map[string]any

// Check returns nil if settings (raw) may replace those in force (before) at a SIGHUP. A file is applied as a whole or
// not at all. Every key of the settings in force must still be present, at the top level and in each section, and each
// class must have the keys of the first class in force. Each class needs a positive Deadline. SendCap, the maximum
// number of attempts, must be a positive whole number if it is set. The error names the key.
func Check(raw, before []byte) error {
	var next, current jsonObject
	if err := jsontext.Decode(raw, &next); err != nil || next == nil {
		return fmt.Errorf("settings: not an object: %w", cmp.Or(err, errEmpty))
	}
	if err := jsontext.Decode(before, &current); err != nil {
		return fmt.Errorf("settings in force: %w", err)
	}
	if err := checkSections(next, current); err != nil {
		return err
	}
	if err := checkClasses(next, current); err != nil {
		return err
	}
	return checkSendCap(next)
}

// checkSections checks that the next settings have all keys of those in force, at the top level and in each section.
func checkSections(next, current jsonObject) error {
	for key, value := range current {
		if err := checkPresent("", key, value, next); err != nil {
			return err
		}
		section, ok := value.(jsonObject)
		if !ok {
			continue
		}
		nextSection, ok := next[key].(jsonObject)
		if !ok {
			return &KeyError{key, "not an object"}
		}
		if err := checkKeys(key+".", nextSection, section); err != nil {
			return err
		}
	}
	return nil
}

// checkKeys checks that the next object has all keys of the current one.
func checkKeys(prefix string, next, current jsonObject) error {
	for key, value := range current {
		if err := checkPresent(prefix, key, value, next); err != nil {
			return err
		}
	}
	return nil
}

// checkPresent checks that an object has a key. Null counts as missing, unless the value in force is null too.
func checkPresent(prefix, key string, value any, next jsonObject) error {
	nextValue, present := next[key]
	if !present || nextValue == nil && value != nil {
		return &KeyError{prefix + key, "missing"}
	}
	return nil
}

// checkClasses checks that each class has the keys of the first class in force, and a positive deadline.
func checkClasses(next, current jsonObject) error {
	classes, _ := next["Classes"].([]any)
	if len(classes) == 0 {
		return &KeyError{"Classes", "none"}
	}
	var firstClass jsonObject
	if old, _ := current["Classes"].([]any); len(old) > 0 {
		firstClass, _ = old[0].(jsonObject)
	}
	for i, c := range classes {
		path := fmt.Sprintf("Classes[%d]", i)
		class, ok := c.(jsonObject)
		if !ok {
			return &KeyError{path, "not an object"}
		}
		if err := checkKeys(path+".", class, firstClass); err != nil {
			return err
		}
		if deadline, ok := class["Deadline"].(float64); !ok || !(deadline > 0) {
			return &KeyError{path + ".Deadline", fmt.Sprintf("%v is not a positive number", class["Deadline"])}
		}
	}
	return nil
}

// checkSendCap checks that the maximum number of attempts, if it is set, is a positive whole number.
func checkSendCap(next jsonObject) error {
	permissions, ok := next["Permissions"].(jsonObject)
	if !ok {
		return nil
	}
	value, present := permissions["SendCap"]
	if !present {
		return nil
	}
	if n, ok := value.(float64); !ok || !(n >= 1) || n != math.Trunc(n) {
		return &KeyError{"Permissions.SendCap", fmt.Sprintf("%v is not a positive whole number", value)}
	}
	return nil
}
