package platform

// A platform's store may come back from an older copy of itself and give out versions again.
// It begins a new era then. A client of such a store includes the era in each version of
// this package, in the upper bits, so that versions rise all the same and those of two eras
// are never equal. The version zero, of an absent row, belongs to no era.
const (
	// EraBits is the number of bits of an era, versionBits that of a version within it.
	EraBits     = 20
	versionBits = 64 - EraBits
)

// VersionIn returns the version that stands for a version within an era.
func VersionIn(era, version uint64) uint64 { return era<<versionBits | version }

// Era returns the era of a version.
func Era(version uint64) uint64 { return version >> versionBits }

// VersionWithinEra returns a version without its era.
func VersionWithinEra(version uint64) uint64 { return version & (1<<versionBits - 1) }
