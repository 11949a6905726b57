"""Tests of the SFTP service, one file a module."""
