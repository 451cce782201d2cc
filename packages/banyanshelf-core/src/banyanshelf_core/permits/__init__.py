"""Slot permits: the coordinator of a service and its holders."""
