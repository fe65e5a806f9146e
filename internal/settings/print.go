package settings

import (
	"fmt"
	"io"
	"reflect"
	"time"
)

// redacted is printed in place of a secret that is set.
const redacted = "(hidden)"

// Fprint writes one line per setting, with secrets redacted.
func (s Settings) Fprint(w io.Writer) error {
	v := reflect.ValueOf(s)
	for i := range v.NumField() {
		field := v.Type().Field(i)
		flag := field.Tag.Get("long")
		if flag == "" {
			continue
		}
		value := fmt.Sprint(v.Field(i).Interface())
		if field.Tag.Get("secret") != "" && value != "" {
			value = redacted
		}
		if _, err := fmt.Fprintf(w, "%s=%s\n", flag, value); err != nil {
			return err
		}
	}
	for _, d := range []struct {
		flag  string
		value time.Duration
	}{
		{"session-ttl", s.SessionTTL}, {"lease-ttl", s.LeaseTTL},
		{"drain-delay", s.DrainDelay}, {"drain-timeout", s.DrainTimeout},
	} {
		if _, err := fmt.Fprintf(w, "%s=%s\n", d.flag, d.value); err != nil {
			return err
		}
	}
	return nil
}
