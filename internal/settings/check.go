package settings

import (
	"fmt"
	"net/netip"
	"net/url"
	"reflect"
	"regexp"
	"slices"
	"strconv"
	"strings"

	"github.com/yuccahatch/yuccahatch/internal/tomlkeys"
)

// stringRule is a rule for the value of a string key, with its description.
type stringRule struct {
	allowed string
	accepts func(string) bool
}

var (
	namePattern   = regexp.MustCompile(`^[A-Za-z0-9][A-Za-z0-9._-]{0,62}$`)
	sha256Pattern = regexp.MustCompile(`^sha256:[0-9a-f]{64}$`)
)

var stringRules = map[string]stringRule{
	"name":   {"1 to 63 letters, digits, '.', '_' or '-'", namePattern.MatchString},
	"text":   {"a text that is not empty", func(s string) bool { return s != "" }},
	"sha256": {"\"sha256:\" with 64 hexadecimal digits in lower case", sha256Pattern.MatchString},
	"url":    {`an address as "http://IP:port"`, isBaseURL},
}

func isBaseURL(s string) bool {
	u, err := url.Parse(s)
	if err != nil || u.Scheme != "http" || u.Path != "" || u.RawQuery != "" || u.User != nil {
		return false
	}
	_, err = netip.ParseAddrPort(u.Host)
	return err == nil
}

// checker validates decoded settings and collects the problems found.
type checker struct {
	locations tomlkeys.Locations
	problems  Problems
}

// check validates decoded settings by the rules that the types of the fields do not
// express.
func check(s *Settings, locations tomlkeys.Locations) Problems {
	c := checker{locations: locations}
	c.section(reflect.ValueOf(s).Elem(), "")
	c.dataCentres(s)
	c.tls(s.Security)
	m, d := s.Membership, s.Detection
	c.require(m.SuspectAfter.Duration > m.HeartbeatInterval.Duration, "membership.suspect_after", "above membership.heartbeat_interval "+m.HeartbeatInterval.String())
	c.require(m.DeadAfter.Duration > m.SuspectAfter.Duration, "membership.dead_after", "above membership.suspect_after "+m.SuspectAfter.String())
	c.require(d.Maximum.Duration >= d.Minimum.Duration, "detection.maximum", "at least detection.minimum "+d.Minimum.String())
	return c.problems
}

func (c *checker) section(v reflect.Value, prefix string) {
	for i := range v.NumField() {
		f, value := v.Type().Field(i), v.Field(i)
		name := prefix + f.Tag.Get("toml")
		switch {
		case isSection(f.Type):
			c.section(value, name+".")
		case f.Type.Kind() == reflect.Slice && isSection(f.Type.Elem()):
			for j := range value.Len() {
				c.section(value.Index(j), name+"["+strconv.Itoa(j)+"].")
			}
		default:
			c.key(value, f, name)
		}
	}
}

func (c *checker) key(v reflect.Value, f reflect.StructField, name string) {
	if _, present := c.locations[name]; !present {
		c.require(!isRequired(f), name, allowedValues(f))
		return
	}
	ok := true
	switch v.Kind() {
	case reflect.String:
		if words := f.Tag.Get("oneof"); words != "" {
			ok = slices.Contains(strings.Fields(words), v.String())
		} else if rule, has := stringRules[f.Tag.Get("form")]; has {
			ok = rule.accepts(v.String())
		}
	case reflect.Slice:
		for j := range v.Len() {
			element := name + "[" + strconv.Itoa(j) + "]"
			c.require(stringRules[f.Tag.Get("form")].accepts(v.Index(j).String()), element, allowedValues(f))
		}
	default:
		ok = inRange(v, f.Tag)
	}
	c.require(ok, name, allowedValues(f))
}

// inRange reports whether a number or duration is within the tags min and max, both
// inclusive. Without these tags any value is in range; with them, NaN is not.
func inRange(v reflect.Value, tag reflect.StructTag) bool {
	if tag.Get("min") == "" {
		return true
	}
	low, high := reflect.New(v.Type()).Elem(), reflect.New(v.Type()).Elem()
	setFromTag(low, tag.Get("min"))
	setFromTag(high, tag.Get("max"))
	switch x := v.Interface().(type) {
	case Duration:
		return low.Interface().(Duration).Duration <= x.Duration && x.Duration <= high.Interface().(Duration).Duration
	case float64:
		return low.Float() <= x && x <= high.Float()
	default:
		return low.Int() <= v.Int() && v.Int() <= high.Int()
	}
}

func (c *checker) dataCentres(s *Settings) {
	var names, regions []string
	for i, dc := range s.DataCentres {
		c.require(!slices.Contains(names, dc.Name), fmt.Sprintf("data_centres[%d].name", i), "a name that occurs once")
		names, regions = append(names, dc.Name), append(regions, dc.Region)
	}
	for i, region := range s.Host.NearRegions {
		c.require(slices.Contains(regions, region), fmt.Sprintf("host.near_regions[%d]", i), "a region of data_centres")
	}
	c.require(len(names) > 0, "data_centres", "at least one data centre")
	if s.Host.DataCentre != "" {
		c.require(slices.Contains(names, s.Host.DataCentre), "host.data_centre", "a listed data centre: "+strings.Join(names, ", "))
	}
}

// tls checks that plaintext between nodes is enabled explicitly, that it is not
// enabled together with TLS files, and that either all TLS files are set or none.
func (c *checker) tls(s Security) {
	files := map[string]string{
		"security.ca_file":          s.CAFile,
		"security.certificate_file": s.CertificateFile,
		"security.private_key_file": s.PrivateKeyFile,
	}
	set := 0
	for _, file := range files {
		if file != "" {
			set++
		}
	}
	switch {
	case set == 0:
		c.require(s.Insecure, "security.insecure", "true if the TLS files are empty")
	case set == len(files):
		c.require(!s.Insecure, "security.insecure", "false if the TLS files are set")
	default:
		for _, name := range []string{"security.ca_file", "security.certificate_file", "security.private_key_file"} {
			c.require(files[name] != "", name, "a file, because other TLS files are set")
		}
	}
}

// require adds a problem for the key unless ok is true.
func (c *checker) require(ok bool, key, allowed string) {
	if ok {
		return
	}
	p := Problem{Key: key, Found: "nothing", Allowed: allowed}
	if at, present := c.locations[key]; present {
		p.Line, p.Found = at.Line, at.Text
	}
	c.problems = append(c.problems, p)
}
