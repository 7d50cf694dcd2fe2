"""Discrete-event simulation of a fleet that runs the decision modules of the product.

Entry hosts place requests with the modules of :mod:`oleanderhill.serving`; engines, callers, the
updates among hosts and the losses of groups are simulated. Equal seeds give equal runs.
"""
