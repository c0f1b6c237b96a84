package settings

import (
	"cmp"
	"errors"
	"fmt"
	"slices"
	"strings"
)

// ErrNoFile is returned where no settings file is given, neither by the caller nor by the environment.
var ErrNoFile = errors.New("settings: no file is given, and " + EnvVariable + " names none")

// ErrTooLong is wrapped in the error of a settings file of more than 1 MiB.
var ErrTooLong = errors.New("too long")

// SettingError is one thing that is wrong with a file of settings.
type SettingError struct {
	File string // without its folder; empty where only a text was read
	Line int    // from 1; 0: the file lacks something
	Key  string // empty where the line has none
	Text string
}

// Error returns "file:line: key: text", without the parts that are empty.
func (se SettingError) Error() string {
	where := se.File
	if se.Line > 0 {
		where = strings.TrimPrefix(fmt.Sprintf("%s:%d", se.File, se.Line), ":")
	}
	text := strings.TrimPrefix(where+": ", ": ") + strings.TrimPrefix(se.Key+": ", ": ") + se.Text
	return strings.TrimPrefix(text, ": ")
}

// maxReportedErrors bounds the errors in the text of SettingErrors.
const maxReportedErrors = 10

// SettingErrors is all that is wrong with a file, in the order of the lines and what is missing at the end.
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

// inFile returns the errors as those of a file, sorted; nil where there are none.
func (se SettingErrors) inFile(file string) error {
	if len(se) == 0 {
		return nil
	}
	for n := range se {
		se[n].File = file
	}
	slices.SortStableFunc(se, func(a, b SettingError) int {
		return cmp.Compare(uint(a.Line)-1, uint(b.Line)-1) // no line: last
	})
	return se
}
