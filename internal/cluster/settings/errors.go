package settings

import (
	"cmp"
	"errors"
	"fmt"
	"slices"
	"strings"
)

// ErrNoFile is returned if no settings file is given, neither by the caller nor by the environment.
var ErrNoFile = errors.New("settings: no file is given, and " + EnvVariable + " names none")

// ErrTooLong is wrapped in the error of a settings file of more than 1 MiB.
var ErrTooLong = errors.New("too long")

// SettingError is one error in a settings file.
type SettingError struct {
	File string // name without its folder; empty for errors that Settings.Require returns
	Line int    // from 1; 0 means that a setting is missing
	Key  string // empty if the line has none
	Text string
}

// Error returns "file:line: key: text", without the parts that are empty.
func (se SettingError) Error() string {
	position := se.File
	if se.Line > 0 {
		position = strings.TrimPrefix(fmt.Sprintf("%s:%d", se.File, se.Line), ":")
	}
	text := strings.TrimPrefix(position+": ", ": ") + strings.TrimPrefix(se.Key+": ", ": ") + se.Text
	return strings.TrimPrefix(text, ": ")
}

// maxReportedErrors bounds the errors in the text of SettingErrors.
const maxReportedErrors = 10

// SettingErrors is all errors in a settings file, in the order of the lines. Errors about missing settings are last.
type SettingErrors []SettingError

// Error returns one line with the first ten errors.
func (se SettingErrors) Error() string {
	texts := make([]string, 0, len(se))
	for n, one := range se {
		if n == maxReportedErrors {
			texts = append(texts, fmt.Sprintf("and %d more", len(se)-n))
			break
		}
		texts = append(texts, one.Error())
	}
	return strings.Join(texts, "; ")
}

// inFile sets the file name of the errors, and sorts them. It returns nil if there are none.
func (se SettingErrors) inFile(file string) error {
	if len(se) == 0 {
		return nil
	}
	for n := range se {
		se[n].File = file
	}
	slices.SortStableFunc(se, func(a, b SettingError) int {
		return cmp.Compare(uint(a.Line)-1, uint(b.Line)-1) // errors without a line are last
	})
	return se
}
