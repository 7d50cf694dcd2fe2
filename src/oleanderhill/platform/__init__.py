"""Translates between the users' platform and the product; nothing outside knows its names.

Each module stands for one outside interface: settings of a process, the operators' configuration,
the list of target hosts, the store, orders to engines, headers of requests and replies. Names on
the wire are decoded here, once, into types that say what they hold.
"""
