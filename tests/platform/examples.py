"""Examples of a routing document and a settings file, with the platform's names."""

from __future__ import annotations

from typing import Any

MODEL = "drafts"
PLAIN = "claims"
HOST = "front.example"
KEY = "key-of-a"


def build_route(prefix: str, kind: str, service: str, **fields: Any) -> dict[str, Any]:
    return {
        "name": f"r{prefix.strip('/')}",
        "host": HOST,
        "pathPrefix": prefix,
        "kind": kind,
        "timeoutMs": 5_000,
        "targetLatencyMs": 500,
        "priority": 1,
        "service": service,
        "maxAttempts": 2,
        "skipAuth": False,
        **fields,
    }


def build_engine() -> dict[str, Any]:
    return {
        "slots": 96,
        "kvTokenBytes": 1_836_000,
        "stride": 3,
        "models": [{"name": "m", "pace": 1.0, "loadS": 8.0, "warmS": 0.0}],
        "step_ms": 1.02,
        "per_seq_ms": 0.01428,
        "context_per_k": 0.01912,
        "read_per_s": 105_000.0,
        "delays": [{"from": "z1", "target": "z2", "delay_ms": 0.75}],
        "usual": {"prompt": 774, "answer": 200},
        "layers": 80,
        "layerMb": 1750.0,
        "activationBytes": 91_800,
        "pipeMbps": 26_000.0,
        "kinds": [
            {"name": "a100", "sizeMb": 72_000.0, "pace": 2.4, "readFactor": 3.2},
            {"name": "l40s", "sizeMb": 43_200.0, "pace": 5.6, "readFactor": 2.7},
            {"name": "l4", "sizeMb": 21_600.0, "pace": 16.0, "readFactor": 8.2},
        ],
    }


def build_document(version: int = 7, **fields: Any) -> dict[str, Any]:
    return {
        "version": version,
        "routes": [
            build_route("/draft/", "stream", MODEL, streamResume=True, targetGapMs=200),
            build_route("/claim/", "unsafe", PLAIN, maxAttempts=1),
            build_route("/look/", "safe", PLAIN),
            build_route("/open/", "safe", PLAIN, skipAuth=True),
        ],
        "services": [
            {
                "name": MODEL,
                "healthPath": "/healthz",
                "maxConnections": 988,
                "engine": build_engine(),
            },
            {"name": PLAIN, "healthPath": "/healthz", "maxConnections": 120},
        ],
        "limits": {
            "maxHeaderBytes": 4_096,
            "maxBodyBytes": 65_536,
            "headerTimeoutMs": 400,
            "idleTimeoutMs": 15_000,
        },
        "tenants": [{"name": "a", "apiKeys": [KEY], "priority": 1}],
        **fields,
    }


def build_settings(**fields: Any) -> dict[str, Any]:
    return {
        "nodeId": "front-z1-1",
        "zone": "z1",
        "ip": "127.0.0.1",
        "listen": {
            "front": "127.0.0.1:8001",
            "ready": "127.0.0.1:8002",
            "control": "127.0.0.1:8003",
        },
        "internalPorts": [7340, 7355],
        "seeds": ["127.0.0.1:8003", "127.0.0.2:8003"],
        "bootstrap": True,
        "dataDir": "/data",
        "heartbeatMs": 1200,
        "faultTolerance": {"machines": 1},
        "bounds": {"revokeMs": 5000, "budgetRatio": 0.2, "budgetSlack": 204},
        "unknownField": {"ignored": True},
        **fields,
    }
