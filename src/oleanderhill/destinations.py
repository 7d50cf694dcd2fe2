"""Maps each type of peer message to the task that handles it. No other types are sent."""

from __future__ import annotations

from .journal.messages import ClaimAnswer, ClaimAsk
from .limits.accounts import Demand
from .members.membership import Gossip
from .routing.crashes import EndingNews
from .routing.messages import DomainEvidence, RecordsWanted
from .settings.documents import Digest, Have, Notice, Want

DESTINATION_BY_TYPE: dict[type, str] = {
    Gossip: "membership",
    Digest: "documents",
    Notice: "documents",
    Want: "documents",
    Have: "documents",
    Demand: "limits",
    DomainEvidence: "router",
    RecordsWanted: "stewards",
    ClaimAsk: "claims",
    ClaimAnswer: "claims",
    EndingNews: "suspects",
}
