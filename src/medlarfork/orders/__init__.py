"""Fenced leases, and the orders to engines that rest on one."""
