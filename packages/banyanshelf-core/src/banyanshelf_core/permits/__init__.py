"""Slot permits: the coordinator of a service grants them, gateways hold them."""
