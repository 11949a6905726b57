"""Tests of the project's own files: style, sizes, deploy file, README."""
