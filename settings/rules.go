package settings

import (
	"fmt"
	"net/netip"
	"net/url"
	"reflect"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/go-playground/validator/v10"

	"bergamotwing.example/release"
	"bergamotwing.example/strictjson"
)

// rules returns the validator with the additional rules of this package.
var rules = sync.OnceValue(func() *validator.Validate {
	v := validator.New()
	v.RegisterTagNameFunc(strictjson.FieldName)
	for name, valid := range map[string]func(string) bool{
		"name":     release.ValidName,
		"base_url": isBaseURL,
		"listen":   isListenAddr,
		"dial":     isDialAddr,
	} {
		rule := func(f validator.FieldLevel) bool { return valid(f.Field().String()) }
		if err := v.RegisterValidation(name, rule); err != nil {
			panic(err) // only an empty name fails
		}
	}
	return v
})

// isBaseURL accepts http and https URLs with a host and nothing after the path.
func isBaseURL(s string) bool {
	u, err := url.Parse(s)
	return err == nil && (u.Scheme == "http" || u.Scheme == "https") && u.Host != "" && u.RawQuery == "" && u.Fragment == ""
}

// isListenAddr accepts an IP address and a port; port 0 picks a free one.
func isListenAddr(s string) bool {
	_, err := netip.ParseAddrPort(s)
	return err == nil
}

// isDialAddr accepts an IP address that can be dialed and a port other than 0.
func isDialAddr(s string) bool {
	a, err := netip.ParseAddrPort(s)
	return err == nil && a.Port() != 0 && !a.Addr().IsUnspecified()
}

// explain describes which values a key may have.
func explain(f validator.FieldError, root any, key string) string {
	switch f.Tag() {
	case "required":
		return "must be set"
	case "required_with":
		return fmt.Sprintf("must be set, since %s is", jsonName(f.Param()))
	case "required_without":
		return fmt.Sprintf("must be set, unless %s is", jsonName(f.Param()))
	case "excluded_with":
		return fmt.Sprintf("must not be set, since %s is", jsonName(f.Param()))
	case "min", "max":
		return describeRange(f.Type(), tagAt(reflect.TypeOf(root).Elem(), key))
	case "oneof":
		return "must be one of " + strings.ReplaceAll(f.Param(), " ", ", ")
	case "file":
		return "must name a file"
	case "unique":
		return "must not name the same entry twice"
	case "name":
		return "must be 1 to 64 letters, digits, dots, dashes or underscores, and start with a letter or digit"
	case "base_url":
		return "must be a URL such as http://127.0.0.1:8080"
	case "listen":
		return "must be an IP number and a port, such as 127.0.0.1:8080"
	case "dial":
		return "must be the IP number and port that others dial, such as 127.0.0.1:8080"
	default:
		return fmt.Sprintf("must satisfy %s=%s", f.Tag(), f.Param())
	}
}

// jsonName turns a field's Go name, as tags refer to it, into its key.
func jsonName(field string) string { return strings.ToLower(field[:1]) + field[1:] }

// describeRange describes the range from a tag's min to its max in the unit of the
// type.
func describeRange(t reflect.Type, tag string) string {
	least, most := bounds(tag)
	switch {
	case t == reflect.TypeFor[Duration]():
		return fmt.Sprintf("must be from %s to %s", time.Duration(least), time.Duration(most))
	case t.Kind() == reflect.String:
		return fmt.Sprintf("must be %d to %d characters long", least, most)
	case t.Kind() == reflect.Slice:
		return fmt.Sprintf("must have %d to %d entries", least, most)
	default:
		return fmt.Sprintf("must be from %d to %d", least, most)
	}
}

// bounds returns min and max of a tag. It stops at "dive", where the rules for the
// elements of a list start.
func bounds(tag string) (least, most int64) {
	tag, _, _ = strings.Cut(tag, ",dive")
	for rule := range strings.SplitSeq(tag, ",") {
		name, param, _ := strings.Cut(rule, "=")
		n, _ := strconv.ParseInt(param, 10, 64) // 0 for rules without a number
		switch name {
		case "min":
			least = n
		case "max":
			most = n
		}
	}
	return least, most
}

// tagAt returns the rules of the field at a key path such as keys[0].secret.
func tagAt(t reflect.Type, key string) string {
	tag := ""
	for name := range strings.SplitSeq(key, ".") {
		name, _, _ = strings.Cut(name, "[")
		for t.Kind() == reflect.Slice {
			t = t.Elem()
		}
		for i := range t.NumField() {
			if f := t.Field(i); strictjson.FieldName(f) == name {
				t, tag = f.Type, f.Tag.Get("validate")
				break
			}
		}
	}
	return tag
}
