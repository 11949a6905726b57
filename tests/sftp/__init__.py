"""Tests of the SFTP gateway, one file a module."""
