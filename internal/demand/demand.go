// Package demand holds the demand for services: how many requests arrive at all entries, by the
// region of the callers, the rank of the requests and the organisation that sends them. Entries
// report to each other what they count. The package does no I/O and reads no clock.
package demand

// Key selects the requests of which a Row gives the rate.
type Key struct {
	// Service is the name of the service.
	Service string
	// Region is the region of the entry at which the requests arrive.
	Region string
	// Rank is the priority of the requests; 0 is the most urgent.
	Rank int
	// Organisation is the hash of the organisation's name, as in quota.HashOrganisation; 0 stands for
	// all organisations without a row of their own.
	Organisation uint32
}

// Row is the demand of the requests that a Key selects, over all entries.
type Row struct {
	Key
	// Arrived and Admitted are the rates of all requests and of those that were not refused, per
	// second. Returns of refused callers count as arrivals.
	Arrived, Admitted float64
}
