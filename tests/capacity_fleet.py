"""A fleet of domains in virtual time, whose hosts carry out orders, for tests of capacity."""

from collections import Counter

from oleanderhill.groups.actions import Close, Join, Leave, Open, OrderOutcome, Replan, Stage, Warm
from oleanderhill.groups.composing import initial_mix
from oleanderhill.groups.demand import DemandHistory
from oleanderhill.groups.forming import DomainKeeper
from oleanderhill.groups.inventory import Instance, Inventory, Membership, MemberState, TargetHost
from oleanderhill.groups.needs import DemandReader, FleetCopy, domain_state, model_needs
from oleanderhill.groups.pacing import LoadPacer
from oleanderhill.groups.plans import DomainPlan
from oleanderhill.groups.serving_groups import serving_groups
from oleanderhill.settings.catalog import ModelProfile

LARGE = ModelProfile("large", 8, 0.5, 1.0, 16.0, 1.6)
SMALL = ModelProfile("small", 2, 0.5, 1.0, 12.0, 1.1)
SLOTS = 10
STEP = 0.05
READ = 0.65
DRAIN = 0.8
EXPECTED_PART = 0.4


class Fleet:
    """Domains with owners that see the plans of the others one reading late."""

    def __init__(self, demand, models=(LARGE, SMALL), domains=9, hosts=18, follows=True, cache=1):
        self.demand, self.models, self.follows, self.cache = demand, models, follows, cache
        self.now = 0.0
        self.hosts = {}
        self.last_model = {}
        self.events = []
        self.broken_rules = []
        self.reasons = []
        self.given_up = []
        self.lost = set()
        self.silent = set()
        self.store_away = False
        self.late_by = 0.0
        self.refused = Counter()
        self.served = Counter()
        self.cut = 0
        for d in range(domains):
            data_centre = f"c{d % 3}"
            self.hosts[f"d{d}"] = {
                (i := Instance(f"d{d}-{n}")): TargetHost(
                    i, "pool", "a", data_centre, False, SLOTS, f"d{d}"
                )
                for n in range(hosts)
            }
        self.plans = {d: DomainPlan(d, "e", "l", 1) for d in self.hosts}
        self.read_plans = dict(self.plans)
        self.keepers = {d: self.new_keeper() for d in self.hosts}
        self.history = DemandHistory()
        self.average = dict.fromkeys((m.name for m in models), 0.0)
        self.rejected = []
        self.copy = FleetCopy()
        self.start()

    def new_keeper(self):
        return DomainKeeper(LoadPacer(60.0, 5.0, len(self.hosts), 2 * len(self.hosts)))

    def start(self):
        """Form the first groups and let the spares load."""
        counts = {d: len(h) for d, h in self.hosts.items()}
        near = {d: next(iter(h.values())).data_centre for d, h in self.hosts.items()}
        needs = {d: self.needs(d) for d in self.hosts}
        self.mix = initial_mix(counts, needs["d0"], near)
        self.first = True
        self.run(6.0)
        self.first = False
        self.run(9.0)
        self.refused.clear()
        self.served.clear()
        self.began = self.now

    def reader(self):
        def expected(model):
            profile = next(m for m in self.models if m.name == model)
            hosts = sum(len(h) for h in self.hosts.values())
            return EXPECTED_PART * hosts * profile.share / profile.hosts + self.average[model]

        return DemandReader(expected, lambda m: self.average[m], self.history)

    def view(self, domain):
        plans = [self.plans[domain], *(p for d, p in self.read_plans.items() if d != domain)]
        return self.copy.available(plans, {d: dict(h) for d, h in self.hosts.items() if h})

    def needs(self, domain):
        needs = model_needs(domain, self.models, self.view(domain), self.reader(), 2, self.now)
        if self.follows:
            return needs
        return [
            n._replace(pressing=0.0, near=None, lasting=0.0, lasting_staged=0.0, peak=None)
            for n in needs
        ]

    def serving(self):
        inventory = Inventory()
        for hosts in self.hosts.values():
            for host in hosts.values():
                if host.instance not in self.silent:
                    inventory.put(host)
        found = serving_groups(self.plans.values(), inventory)
        return {m.name: len(found.get(m.name, ())) for m in self.models}

    def run(self, seconds):
        for _ in range(round(seconds / STEP)):
            self.step()

    def step(self):
        self.now += STEP
        due = [e for e in self.events if e[0] <= self.now]
        self.events = [e for e in self.events if e[0] > self.now]
        for _, act in due:
            act()
        tick = round(self.now / STEP)
        if tick % 2 == 0:
            self.serve(2 * STEP)
        if tick % round(READ / STEP) == 0 and not self.store_away:
            self.read_plans = dict(self.plans)
            self.sample()
        if tick % 5 == 0 and not self.store_away:
            for domain in self.hosts:
                self.manage(domain)

    def serve(self, seconds):
        """Requests in flight follow the demand at once; those beyond the slots are refused."""
        groups = self.serving()
        self.in_flight = {}
        for model in groups:
            asked = self.demand(model, self.now - getattr(self, "began", self.now)) * SLOTS
            self.in_flight[model] = min(asked, groups[model] * SLOTS)
            self.served[model] += self.in_flight[model] * seconds
            over = (asked - self.in_flight[model]) * seconds
            self.refused[model] += over
            self.rejected.append((self.now, model, over))
        self.rejected = [r for r in self.rejected if r[0] > self.now - 1.0]

    def sample(self):
        refused = Counter()
        for _, model, over in self.rejected:
            refused[model] += over
        occupied = {m: (n + refused[m]) / SLOTS for m, n in self.in_flight.items()}
        for model, value in occupied.items():
            self.average[model] += 0.15 * (value - self.average[model])
        self.history.record(occupied, self.average, self.now)

    def manage(self, domain):
        initial = self.mix[domain] if self.first else None
        fleet = self.view(domain) if self.follows else None
        hosts = dict(self.hosts[domain])
        actions = self.keepers[domain].decide(
            self.now, self.plans[domain], hosts, self.needs(domain), initial, (), (), fleet
        )
        for action in actions:
            if isinstance(action, Replan):
                self.plans[domain] = action.plan
                self.given_up += action.given_up
                self.reasons.append((round(self.now, 2), action.reason))
            else:
                self.send(domain, action)

    def send(self, domain, order):
        keeper = self.keepers[domain]
        if order.instance in self.lost | self.silent or order.instance not in self.hosts[domain]:
            keeper.ended(order, OrderOutcome.SILENT, self.now)
            return
        if self.late_by:
            keeper.ended(order, OrderOutcome.SILENT, self.now)
            self.later(self.late_by, lambda: self.obey(domain, order))
            return
        self.obey(domain, order)
        keeper.ended(order, OrderOutcome.DONE, self.now)

    def later(self, seconds, act):
        self.events.append((self.now + seconds, act))

    def change(self, domain, instance, **fields):
        host = self.hosts[domain].get(instance)
        if host is not None:
            self.hosts[domain][instance] = host._replace(**fields)

    def stage(self, domain, instance, model):
        host = self.hosts[domain].get(instance)
        if host is not None:
            staged = (*(m for m in host.staged if m != model), model)[-self.cache :]
            self.change(domain, instance, staged=staged)

    def obey(self, domain, order):
        host = self.hosts[domain].get(order.instance)
        if host is None:
            return
        member = host.membership
        match order:
            case Join(group, instance) | Warm(group, instance):
                if member is not None and member.epoch >= group.epoch:
                    return
                self.check_two(domain, host, group)
                rank = group.members.index(instance)
                joined = Membership(group.name, group.epoch, rank, MemberState.JOINING)
                self.change(domain, instance, membership=joined)
                seconds = self.join_seconds(host, group.model)
                self.later(seconds, lambda: self.ready(domain, instance, joined, group.model))
            case Stage(model, instance):
                load = next(m for m in self.models if m.name == model).load_seconds
                self.later(
                    load / 10 if self.first else load, lambda: self.stage(domain, instance, model)
                )
            case Open(group, instance):
                if member is not None and member[:2] == (group.name, group.epoch):
                    self.set_state(domain, instance, member, MemberState.OPEN)
            case Close(group, epoch, instance):
                if member is not None and member[:2] == (group, epoch):
                    closing = self.set_state(domain, instance, member, MemberState.CLOSING)
                    self.later(
                        DRAIN,
                        lambda: self.set_state(domain, instance, closing, MemberState.READY),
                    )
            case Leave(group, epoch, instance):
                if member is not None and member[:2] == (group, epoch):
                    self.cut += self.is_serving(domain, member)
                    self.change(domain, instance, membership=None)

    def is_serving(self, domain, member):
        """Return whether a host is the head of a whole group that has requests."""
        same = [h for h in self.hosts[domain].values() if h.membership is not None]
        ranks = {h.membership.rank for h in same if h.membership[:2] == member[:2]}
        whole = ranks in [set(range(m.hosts)) for m in self.models]
        return whole and member.state in (MemberState.OPEN, MemberState.CLOSING)

    def set_state(self, domain, instance, member, state):
        host = self.hosts[domain].get(instance)
        if host is None or host.membership != member:
            return member
        changed = member._replace(state=state)
        self.change(domain, instance, membership=changed)
        return changed

    def check_two(self, domain, host, group):
        member = host.membership
        if member is None or member.group == group.name:
            return
        for other in self.hosts[domain].values():
            m = other.membership
            if m is None or m[:3] != (member.group, member.epoch, 0):
                continue
            if m.state in (MemberState.OPEN, MemberState.CLOSING):
                self.broken_rules.append((host.instance, member.group, group.name))

    def join_seconds(self, host, model):
        profile = next(m for m in self.models if m.name == model)
        if self.last_model.get(host.instance) == model:
            return 0.2
        if model in host.staged:
            return profile.staged_seconds
        return profile.load_seconds / (10 if self.first else 1)

    def ready(self, domain, instance, joined, model):
        host = self.hosts[domain].get(instance)
        if host is None or host.membership != joined:
            return
        self.stage(domain, instance, model)
        self.last_model[instance] = model
        self.change(domain, instance, membership=joined._replace(state=MemberState.READY))

    def lose(self, domain, instance):
        """Lose a host for good."""
        del self.hosts[domain][instance]

    def state(self, domain):
        return domain_state(self.plans[domain], self.hosts[domain])
