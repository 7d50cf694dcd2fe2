"""Parts of prompts that crash each replica that runs a request with them."""

import asyncio
import unittest

from oleanderhill_dev.users.site import SMALL
from returns.pipeline import is_successful
from tornado.httputil import HTTPHeaders

from oleanderhill.platform.headers import MAX_PROMPT_PARTS, HeaderCodec

from .test_users_site import SiteTest

CRASH_PART = "bad0"
OTHER_PART = "900d"
MAX_CRASHES = 8
"""Five crashes show the part to everybody, and three requests more may reach replicas."""


class PromptPartsTest(unittest.TestCase):
    def parts(self, text):
        return HeaderCodec().read_request(HTTPHeaders({"Prompt-Prefix": text})).shared_parts

    def test_all_parts_but_the_last_may_be_shared(self):
        self.assertEqual(
            self.parts("5C1e07a2:800,91bd3f06:410, e4402b7d:250"), ("5c1e07a2", "91bd3f06")
        )
        self.assertEqual(self.parts("5c1e07a2:800"), ())
        self.assertEqual(self.parts(""), ())

    def test_unreadable_parts_are_left_out_and_their_number_is_bounded(self):
        self.assertEqual(self.parts("zz:1,a:b,:4,ab:1,ab:1,cd,e:1"), ("ab",))
        many = ",".join(f"{n:x}:1" for n in range(100))
        self.assertEqual(len(self.parts(many)), MAX_PROMPT_PARTS)


class CrashPartTest(SiteTest):
    hosts = 12
    entries = 2

    async def asyncSetUp(self):
        await super().asyncSetUp()
        self.site.engines.crash_causing_parts.add(CRASH_PART)

    async def generate(self, *parts, entry=None):
        """Request a stream whose prompt has these parts and one of its own; return its status."""
        number = self.sent
        prompt = ",".join([*(f"{part}:40" for part in parts), f"{number + 1:x}:200"])
        result, _ = await self.ask(
            "/read/x",
            "POST",
            entry=entry,
            model=SMALL,
            body=b"request %d" % number,
            Prompt_Prefix=prompt,
        )
        return result.unwrap().status if is_successful(result) else 0

    async def until_served(self, entry):
        async with asyncio.timeout(20):
            while await self.generate(OTHER_PART, entry=entry) != 200:
                await asyncio.sleep(0.05)

    async def send_with_part(self, times, *more):
        for number in range(times):
            entry = self.site.entries[number % len(self.site.entries)]
            await self.until_served(entry)
            await self.generate(CRASH_PART, *more, entry=entry)

    async def test_different_requests_with_a_part_that_crashes_replicas_are_soon_sent_to_none(self):
        await self.send_with_part(8)
        self.assertLessEqual(len(self.site.engines.crashed_instances), MAX_CRASHES)

    async def test_requests_that_share_caller_and_other_parts_are_served_at_the_first_attempt(self):
        await self.send_with_part(8, OTHER_PART)
        self.assertLessEqual(len(self.site.engines.crashed_instances), MAX_CRASHES)
        for entry in self.site.entries:
            await self.until_served(entry)
            seen = [await self.generate(OTHER_PART, entry=entry) for _ in range(5)]
            self.assertEqual(seen, [200] * 5)
