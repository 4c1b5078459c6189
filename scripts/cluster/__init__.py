"""Starts gateways, worker stand-ins and the platform stand-in on loopback for scripts and tests."""
