package fleet

// What two software versions of a service generate does not fit together: a stream
// continues, and is copied, only at the version that began it.

const (
	// Unversioned is the version of servers that do not report one.
	Unversioned = "unversioned"
	// UnknownVersion is the version of a server that was discovered while the list could
	// not be read. It is not the same as that of any other server.
	UnknownVersion = "unknown"
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

// Versions returns the versions of the servers of each service, without unknown ones.
func (f *Fleet) Versions() map[string][]string {
	f.mu.Lock()
	defer f.mu.Unlock()
	type key struct{ service, version string }
	listed := map[key]bool{}
	versions := map[string][]string{}
	for _, s := range f.servers {
		k := key{s.Service, s.Version}
		if s.Version == UnknownVersion || listed[k] {
			continue
		}
		listed[k] = true
		versions[s.Service] = append(versions[s.Service], s.Version)
	}
	return versions
}
