"""VRRP version 3: which gateway instance owns the virtual address."""
