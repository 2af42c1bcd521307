package command

import "runtime/debug"

// Version is the release, set by the linker in release builds.
var Version = "devel"

type versionCommand struct {
	out *output
}

// Execute prints the version, the revision it was built from and the Go release.
func (c *versionCommand) Execute([]string) error {
	revision, goVersion := "unknown", "unknown"
	if info, ok := debug.ReadBuildInfo(); ok {
		goVersion = info.GoVersion
		for _, s := range info.Settings {
			if s.Key == "vcs.revision" {
				revision = s.Value
			}
		}
	}
	c.out.printf("bergamotwing %s, revision %s, %s\n", Version, revision, goVersion)
	return nil
}
