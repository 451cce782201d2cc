"""Placement of calls by expected response time, from load data shared by gateways."""
