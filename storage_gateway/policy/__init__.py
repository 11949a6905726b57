"""The decisions: events in, actions out, no clock and no socket."""
