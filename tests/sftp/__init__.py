"""Tests of the SFTP package, one file for each module."""
