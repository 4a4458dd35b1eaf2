package quota

import (
	"math"
	"strconv"
	"strings"

	"github.com/go-faster/errors"
)

// ParseRate reads the values of a header that names a limit in requests a second, a
// decimal number. If there are several, the lowest applies. limited is false if none
// can be read, and err names one that can't.
func ParseRate(values []string) (rate float64, limited bool, err error) {
	for _, v := range values {
		r, parseErr := strconv.ParseFloat(strings.TrimSpace(v), 64)
		if parseErr != nil || math.IsNaN(r) || math.IsInf(r, 0) || r < 0 {
			err = errors.Errorf("%q is not a number of requests a second", v)
			continue
		}
		if !limited || r < rate {
			rate, limited = r, true
		}
	}
	return rate, limited, err
}
