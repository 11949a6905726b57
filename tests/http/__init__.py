"""Tests of the HTTP server and of the client of the storage nodes, over loopback sockets."""
