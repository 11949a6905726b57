"""A gateway that schedules clients' requests onto storage nodes, with one instance on each host."""
