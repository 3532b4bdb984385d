package settings

import (
	"encoding"
	"errors"
	"fmt"
	"net/netip"
	"reflect"
	"strconv"
	"strings"
	"time"
)

// Size is a number of bytes, written with a unit: B, KiB, MiB or GiB.
type Size int64

// Address is an IP address and port, written as 10.0.0.1:7100.
type Address string

var sizeUnits = []struct {
	suffix string
	factor int64
}{{"KiB", 1 << 10}, {"MiB", 1 << 20}, {"GiB", 1 << 30}, {"B", 1}}

// ParseSize parses a size with its unit.
func ParseSize(s string) (Size, error) {
	for _, u := range sizeUnits {
		num, ok := strings.CutSuffix(s, u.suffix)
		if !ok {
			continue
		}
		n, err := strconv.ParseInt(strings.TrimSpace(num), 10, 64)
		if err != nil || n < 0 || n > (1<<62)/u.factor {
			return 0, errors.New("is not a size")
		}
		return Size(n * u.factor), nil
	}
	return 0, errors.New("has no size unit")
}

// ParseAddress parses an IP address with a port.
func ParseAddress(s string) (Address, error) {
	if _, err := netip.ParseAddrPort(s); err != nil {
		return "", errors.New("is not an IP number with a port")
	}
	return Address(s), nil
}

func setValue(target reflect.Value, field reflect.StructField, text string) error {
	switch p := target.Addr().Interface().(type) {
	case *string:
		*p = text
	case *bool:
		return setBool(p, text)
	case *int:
		v, err := strconv.Atoi(text)
		*p = v
		return errors.Join(replaceError(err, "is not a whole number"), checkRange(field, float64(v)))
	case *float64:
		v, err := strconv.ParseFloat(text, 64)
		*p = v
		return errors.Join(replaceError(err, "is not a number"), checkRange(field, v))
	case *time.Duration:
		v, err := time.ParseDuration(text)
		*p = v
		return errors.Join(replaceError(err, "is not a duration with a unit"), checkDuration(field, v))
	case *Size:
		v, err := ParseSize(text)
		*p = v
		return errors.Join(err, checkRange(field, float64(v)))
	case *Address:
		v, err := ParseAddress(text)
		*p = v
		return err
	case *[]Address:
		return setAddresses(p, text)
	case *[]string:
		*p = splitList(text)
	case encoding.TextUnmarshaler:
		return p.UnmarshalText([]byte(text))
	default:
		return fmt.Errorf("has an unsupported type %s", target.Type())
	}
	return checkAllowed(field, text)
}

func setBool(p *bool, text string) error {
	switch text {
	case "true":
		*p = true
	case "false":
		*p = false
	default:
		return errors.New("is neither true nor false")
	}
	return nil
}

func setAddresses(p *[]Address, text string) error {
	for _, part := range splitList(text) {
		a, err := ParseAddress(part)
		if err != nil {
			return err
		}
		*p = append(*p, a)
	}
	return nil
}

func splitList(text string) []string {
	var out []string
	for part := range strings.SplitSeq(text, ",") {
		if part = strings.TrimSpace(part); part != "" {
			out = append(out, part)
		}
	}
	return out
}

func replaceError(err error, text string) error {
	if err == nil {
		return nil
	}
	return errors.New(text)
}

func checkAllowed(field reflect.StructField, text string) error {
	allowed := field.Tag.Get("allowed")
	if allowed == "" {
		return nil
	}
	for a := range strings.SplitSeq(allowed, "|") {
		if a == text {
			return nil
		}
	}
	return errors.New("is not allowed")
}

func checkRange(field reflect.StructField, v float64) error {
	if lo, err := strconv.ParseFloat(field.Tag.Get("min"), 64); err == nil && v < lo {
		return errors.New("is too small")
	}
	if hi, err := strconv.ParseFloat(field.Tag.Get("max"), 64); err == nil && v > hi {
		return errors.New("is too large")
	}
	return nil
}

func checkDuration(field reflect.StructField, v time.Duration) error {
	if lo, err := time.ParseDuration(field.Tag.Get("min")); err == nil && v < lo {
		return errors.New("is too small")
	}
	if hi, err := time.ParseDuration(field.Tag.Get("max")); err == nil && v > hi {
		return errors.New("is too large")
	}
	return nil
}

func allowedText(field reflect.StructField) string {
	if a := field.Tag.Get("allowed"); a != "" {
		return strings.ReplaceAll(a, "|", ", ")
	}
	text := typeTexts[field.Type]
	lo, hi := field.Tag.Get("min"), field.Tag.Get("max")
	switch {
	case lo != "" && hi != "":
		text += " from " + lo + " to " + hi
	case lo != "":
		text += ", at least " + lo
	case hi != "":
		text += ", at most " + hi
	}
	return text
}

var typeTexts = map[reflect.Type]string{
	reflect.TypeFor[string]():        "text",
	reflect.TypeFor[bool]():          "true, false",
	reflect.TypeFor[int]():           "a whole number",
	reflect.TypeFor[float64]():       "a number",
	reflect.TypeFor[time.Duration](): "a duration such as 250ms or 10s",
	reflect.TypeFor[Size]():          "a size such as 64KiB or 16MiB",
	reflect.TypeFor[Address]():       "an IP number and port such as 10.0.0.1:7100",
	reflect.TypeFor[[]Address]():     "IP numbers and ports, separated by commas",
	reflect.TypeFor[[]string]():      "a list, separated by commas",
}
