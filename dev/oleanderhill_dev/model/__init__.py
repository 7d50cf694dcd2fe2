"""A model in virtual time of what the product serves: it runs the real decision modules.

Entry hosts place requests by the shipped :mod:`oleanderhill.serving` modules; engines, callers, the
news among hosts and the losses of groups are modelled. A seed gives the same run.
"""
