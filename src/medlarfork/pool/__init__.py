"""Scheduling of upstream pools: which queued request gets the next slot, and on which upstream."""
