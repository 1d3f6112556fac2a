"""Fenced leases, and the control plane's orders to engines, which require one."""
