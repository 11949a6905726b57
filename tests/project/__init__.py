"""Tests of the project's own files: style, sizes, layers, external names, deploy file and README."""
