"""Tests of the checks of announced addresses."""

from __future__ import annotations

import unittest

from yuccareach.runtime.addresses import parse_host_port, parse_ip_port

UNUSABLE_ADDRESSES = (
    "",
    "nowhere",
    ":80",
    "127.0.0.1",
    "127.0.0.1:",
    "127.0.0.1:0",
    "127.0.0.1:-1",
    "127.0.0.1:+80",
    "127.0.0.1: 80",
    "127.0.0.1:65536",
    "127.0.0.1:99999",
    "127.0.0.1:999999999999999999999999999999",
    "127.0.0.1:" + "9" * 5_000,
    "127.0.0.1:٨٠",
    "127.0.0.1:8²",
    "[::1:80",
    "::1]:80",
    "[]:80",
    "127.0.0.1\0:80",
    "127.0.0.1\r\nX: y:80",
    "a b:80",
    "h" * 5_000 + ":80",
)


class AddressTests(unittest.TestCase):
    def test_unusable_address_is_rejected_in_one_printable_line(self) -> None:
        for address in UNUSABLE_ADDRESSES:
            for parse in (parse_host_port, parse_ip_port):
                with self.subTest(address=address[:60], parse=parse):
                    with self.assertRaises(ValueError) as raised:
                        parse(address)
                    text = str(raised.exception)
                    self.assertTrue(text.isprintable(), text)
                    self.assertLess(len(text), 1_500)

    def test_host_and_port_are_returned(self) -> None:
        self.assertEqual(
            parse_host_port("front-1.example:8080"), ("front-1.example", 8080)
        )
        self.assertEqual(parse_ip_port("10.1.0.40:65535"), ("10.1.0.40", 65535))
        self.assertEqual(parse_ip_port("[::1]:1"), ("::1", 1))

    def test_listener_may_ask_for_any_port(self) -> None:
        self.assertEqual(parse_host_port("h:0", may_be_any_port=True), ("h", 0))

    def test_name_and_address_of_no_machine_are_no_ip_address(self) -> None:
        for address in (
            "front-1:80",
            "0.0.0.0:80",
            "255.255.255.255:80",
            "224.0.0.1:80",
        ):
            with self.subTest(address=address), self.assertRaises(ValueError):
                parse_ip_port(address)
