"""Parts of prompts that crash each replica that runs a request with them."""

import unittest

from tornado.httputil import HTTPHeaders

from oleanderhill.platform.headers import MAX_PROMPT_PARTS, HeaderCodec


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
