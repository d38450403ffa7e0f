package fleet

import "github.com/yuccahatch/yuccahatch/internal/streamversion"

// What two software versions of a service generate does not fit together: a stream
// continues, and is copied, only at the version that began it.

const (
	// Unversioned is the version of servers that do not report one.
	Unversioned = "unversioned"
	// UnknownVersion is the version of a server that was discovered while the list could
	// not be read. It is not the same as that of any other server.
	UnknownVersion = streamversion.Unknown
)

// runsVersion reports whether a server may run a request for the given version, where
// empty stands for any.
func (s *Server) runsVersion(version string) bool {
	return version == "" || version != UnknownVersion && s.Version == version
}

// VersionOf returns the software version of a server.
func (f *Fleet) VersionOf(s *Server) string {
	f.mu.Lock()
	defer f.mu.Unlock()
	return s.Version
}

// KnownVersion returns the software version of an incarnation of a server, or nothing if it
// is not known.
func (f *Fleet) KnownVersion(x streamversion.Server) string {
	f.mu.Lock()
	defer f.mu.Unlock()
	s := f.servers[x.ID]
	if s == nil || s.Incarnation != x.Incarnation || s.Version == UnknownVersion {
		return ""
	}
	return s.Version
}

// Versions returns the versions of the servers of each service. UnknownVersion is one of
// them if a server has it: it may be another one than those that are known.
func (f *Fleet) Versions() map[string][]string {
	f.mu.Lock()
	defer f.mu.Unlock()
	type key struct{ service, version string }
	listed := map[key]bool{}
	versions := map[string][]string{}
	for _, s := range f.servers {
		k := key{s.Service, s.Version}
		if listed[k] {
			continue
		}
		listed[k] = true
		versions[s.Service] = append(versions[s.Service], s.Version)
	}
	return versions
}
