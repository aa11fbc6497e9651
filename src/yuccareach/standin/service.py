"""A stand-in for a plain service: a ledger with idempotent and other routes."""

from __future__ import annotations

import asyncio
from collections import Counter
from typing import Any

import falcon
import falcon.asgi

from yuccareach.runtime.health import add_health_routes


class Ledger:
    """Balances of accounts, and how often each payout ran.

    While stuck is set, payouts run and are not answered.
    """

    def __init__(self, delay_ms: int = 0) -> None:
        self.delay_ms = delay_ms
        self.balance_by_account: Counter[str] = Counter()
        self.executions_by_key: Counter[str] = Counter()
        self.reads = 0
        self.stuck = False


class BalancesResource:
    """HTTP resource of account balances; reading them is idempotent."""

    def __init__(self, ledger: Ledger) -> None:
        self.ledger = ledger

    async def on_get(self, request: Any, response: Any, account: str) -> None:
        """Return an account's balance."""
        self.ledger.reads += 1
        response.media = {
            "account": account,
            "balance": self.ledger.balance_by_account[account],
        }


class PayoutsResource:
    """HTTP resource of payouts, which must not be repeated."""

    def __init__(self, ledger: Ledger) -> None:
        self.ledger = ledger

    async def on_post(self, request: Any, response: Any) -> None:
        """Pay on every request.

        The key is only counted: preventing repeated payouts is the router's task.
        """
        key = request.get_header("Idempotency-Key") or ""
        body = await request.get_media()
        self.ledger.executions_by_key[key] += 1
        self.ledger.balance_by_account[body["account"]] += body["amount"]
        while self.ledger.stuck:
            await asyncio.sleep(0.05)
        await asyncio.sleep(self.ledger.delay_ms / 1000)
        response.status = falcon.HTTP_201
        response.media = {
            "paid": body["amount"],
            "account": body["account"],
            "key": key,
        }


class ExecutionsResource:
    """HTTP resource through which tests read how often payouts ran."""

    def __init__(self, ledger: Ledger) -> None:
        self.ledger = ledger

    async def on_get(self, request: Any, response: Any) -> None:
        """Return the number of payouts by idempotency key."""
        response.media = dict(self.ledger.executions_by_key)


def build_service_app(ledger: Ledger) -> Any:
    """Build the HTTP application of the ledger."""
    app = falcon.asgi.App()
    add_health_routes(app)
    app.add_route("/balances/{account}", BalancesResource(ledger))
    app.add_route("/payouts", PayoutsResource(ledger))
    app.add_route("/executions", ExecutionsResource(ledger))
    return app


__all__ = ["Ledger", "build_service_app"]
