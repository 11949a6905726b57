"""A gateway between clients and storage nodes: schedules requests onto nodes, one instance on each host."""
