package setup

import (
	"encoding/json"
	"fmt"
	"net/url"
	"strings"
)

// Values returns the settings as text by key, such as "drain.linger". Lists are
// joined by commas. User names and passwords in URLs are left out.
func (n Node) Values() map[string]string {
	out := map[string]string{}
	data, err := json.Marshal(n)
	var tree any
	if err == nil {
		err = json.Unmarshal(data, &tree)
	}
	if err != nil {
		out["error"] = err.Error()
		return out
	}
	flatten(out, "", tree)
	return out
}

// flatten adds the values of a decoded JSON value to out, under keys that begin
// with key.
func flatten(out map[string]string, key string, v any) {
	switch v := v.(type) {
	case map[string]any:
		for k, x := range v {
			flatten(out, strings.TrimPrefix(key+"."+k, "."), x)
		}
	case []any:
		texts := make([]string, 0, len(v))
		for _, x := range v {
			texts = append(texts, withoutUserinfo(fmt.Sprint(x)))
		}
		out[key] = strings.Join(texts, ",")
	default:
		out[key] = withoutUserinfo(fmt.Sprint(v))
	}
}

// withoutUserinfo removes the user name and password from a URL. Other text stays
// as it is.
func withoutUserinfo(text string) string {
	u, err := url.Parse(text)
	if err != nil || u.User == nil {
		return text
	}
	u.User = nil
	return u.String()
}
