package declaration

import (
	"errors"
	"math"
	"strconv"
	"strings"
)

// unit is a suffix of a quantity and the factor that it stands for.
type unit struct {
	suffix string
	factor uint64
}

// The units of each kind, largest first. A suffix that ends in another one must come
// before it, as splitUnit takes the first that fits.
var (
	sizeUnits    = []unit{{"TiB", 1 << 40}, {"GiB", 1 << 30}, {"MiB", 1 << 20}, {"KiB", 1 << 10}, {"B", 1}}
	tokenUnits   = []unit{{"Mtokens", 1e6}, {"ktokens", 1e3}, {"tokens", 1}}
	requestUnits = []unit{{"", 1}}
)

var (
	errUnit     = errors.New("has no known unit")
	errQuantity = errors.New("is not a quantity")
)

const maxQuantity = 1 << 53 // up to here, integers are exact in a float64

func suffixes(units []unit) string {
	var names []string
	for _, u := range units {
		names = append(names, u.suffix)
	}
	return strings.Join(names, ", ")
}

func quantitySyntax(units []unit) string {
	return "a whole number with a unit of " + suffixes(units)
}

func rateSyntax(units []unit) string {
	if units[0].suffix == "" {
		return "a number per second or minute, such as 50/s or 90/min"
	}
	return "a number with a unit of " + suffixes(units) + " per second or minute, such as 20 ktokens/s"
}

// splitUnit splits a quantity such as "20 ktokens" into its number and its unit.
func splitUnit(s string, units []unit) (string, unit, error) {
	for _, u := range units {
		num, ok := strings.CutSuffix(s, u.suffix)
		if ok {
			return strings.TrimSpace(num), u, nil
		}
	}
	return "", unit{}, errUnit
}

func parseQuantity(s string, units []unit) (uint64, error) {
	num, u, err := splitUnit(s, units)
	if err != nil {
		return 0, err
	}
	n, err := strconv.ParseUint(num, 10, 64)
	if err != nil || n == 0 || n > maxQuantity/u.factor {
		return 0, errQuantity
	}
	return n * u.factor, nil
}

func parseRate(s string, units []unit) (float64, error) {
	amount, per, ok := strings.Cut(s, "/")
	seconds := map[string]float64{"s": 1, "min": 60}[strings.TrimSpace(per)]
	if !ok || seconds == 0 {
		return 0, errUnit
	}
	num, u, err := splitUnit(strings.TrimSpace(amount), units)
	if err != nil {
		return 0, err
	}
	n, err := strconv.ParseFloat(num, 64)
	if err != nil || math.IsNaN(n) || n <= 0 || n*float64(u.factor) > maxQuantity {
		return 0, errQuantity
	}
	return n * float64(u.factor) / seconds, nil
}

// formatQuantity formats n in the largest unit that divides it.
func formatQuantity(n uint64, units []unit) string {
	for _, u := range units {
		if n%u.factor == 0 {
			return strconv.FormatUint(n/u.factor, 10) + " " + u.suffix
		}
	}
	return strconv.FormatUint(n, 10)
}

func formatRate(n float64, suffix string) string {
	num := strconv.FormatFloat(n, 'f', -1, 64)
	if suffix == "" {
		return num + "/s"
	}
	return num + " " + suffix + "/s"
}

const nameSyntax = "lower-case letters, digits, dots, dashes and underscores, at most 63"

const maxName = 63

func isName(s string) bool {
	for i, c := range s {
		alphanumeric := c >= 'a' && c <= 'z' || c >= '0' && c <= '9'
		if !alphanumeric && (i == 0 || !strings.ContainsRune("._-", c)) {
			return false
		}
	}
	return s != "" && len(s) <= maxName
}

const weightNameSyntax = "letters, digits and any of . _ - / : @ +, at most 255"

const maxWeightName = 255

func isWeightName(s string) bool {
	for _, c := range s {
		alphanumeric := c >= 'a' && c <= 'z' || c >= 'A' && c <= 'Z' || c >= '0' && c <= '9'
		if !alphanumeric && !strings.ContainsRune("._-/:@+", c) {
			return false
		}
	}
	return s != "" && len(s) <= maxWeightName
}

func quote(s string) string { return strconv.Quote(s) }
