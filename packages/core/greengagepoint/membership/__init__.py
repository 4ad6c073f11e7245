"""Who is alive: probes inside a group, digests between zones, sums between regions."""
