"""A stand-in for a model engine that holds a range of layers."""

from __future__ import annotations

import asyncio
import struct
from collections import Counter, OrderedDict, deque
from random import Random
from typing import TYPE_CHECKING, Any, NamedTuple

import grpc
import xxhash

from yuccareach.proto import engine_pb2 as epb
from yuccareach.proto.engine_pb2_grpc import EngineServicer
from yuccareach.runtime.reducer import monotonic_ms, wall_clock_ms
from yuccareach.standin import model
from yuccareach.standin.kinds import find_kind

if TYPE_CHECKING:
    from collections.abc import AsyncIterator

# Load reports are measured at this interval and published after this delay.
REPORT_INTERVAL_MS = 500
REPORT_DELAY_MS = 700
# Prompt prefixes are cached at multiples of this length.
PREFIX_BLOCK_TOKENS = 16
MAX_CACHED_PREFIXES = 256


class EngineOptions(NamedTuple):
    """The engine that the stand-in simulates.

    speed multiplies the speed of its kind of accelerator. event_loss is the fraction of
    load and cache events that are lost. A prompt with crash_word ends the process.
    """

    model: str
    layers: int
    first_layer: int
    end_layer: int
    kind: str = "a100"
    speed: float = 1.0
    checks_fencing: bool = True
    event_loss: float = 0.1
    seed: int = 0
    crash_word: str = ""


class Sequence:
    """KV state of one sequence: one state per loaded layer, and the positions run."""

    def __init__(self, layers: int) -> None:
        self.states = [0] * layers
        self.positions = 0


class ExecutionCounter:
    """Counts how often each position of each sequence was run.

    A sequence is one epoch of a request. All loaded layers of a position run together,
    so one count applies to each of them.
    """

    def __init__(self) -> None:
        self.count_by_position: Counter[tuple[str, int]] = Counter()
        self.out_of_order = 0
        self.total = 0

    def record(self, sequence: str, expected: int, position: int, count: int) -> None:
        """Count the positions of one step.

        The step is out of order if its position is not the expected one.
        """
        self.total += count
        self.out_of_order += expected != position
        self.count_by_position.update(
            (sequence, position + offset) for offset in range(count)
        )

    def summarize(self) -> dict[str, int]:
        """Return totals; a correct system keeps repeated and out_of_order at 0."""
        return {
            "total": self.total,
            "positions": len(self.count_by_position),
            "repeated": sum(
                count - 1 for count in self.count_by_position.values() if count > 1
            ),
            "out_of_order": self.out_of_order,
        }


class StandinEngine(EngineServicer):  # type: ignore[misc]
    """Runs steps in continuous batches, timed as on the simulated accelerator."""

    def __init__(self, options: EngineOptions) -> None:
        self.options = options
        self.kind = find_kind(options.kind)
        self.first_layer = options.first_layer
        self.end_layer = options.end_layer
        self.model = options.model
        self.layers = options.layers
        self.random = Random(options.seed)
        self.sequence_by_id: dict[str, Sequence] = {}
        # Steps to run, each with the queue for the results of its gRPC stream.
        self.queue: deque[tuple[epb.Step, asyncio.Queue[Any]]] = deque()
        self.work_available = asyncio.Event()
        self.running = 0
        # Sequences that were cancelled during the current batch. Their steps in it are
        # not computed, since that would store their state again.
        self.cancelled_in_batch: set[str] = set()
        self.executions = ExecutionCounter()
        self.prefix_cache: OrderedDict[int, None] = OrderedDict()
        self.unreported_cached_prefixes: list[int] = []
        self.unreported_evicted_prefixes: list[int] = []
        self.fencing_number = 0
        # Set by tests: a stuck engine runs no batches.
        self.stuck = False
        # Monotonic time at which the simulated accelerator is free again.
        self.free_at_s = 0.0
        self.task: asyncio.Task[None] | None = None

    def start(self) -> None:
        """Start running batches, until stop is called."""
        self.task = asyncio.create_task(self._run_batches())

    async def stop(self) -> None:
        """Stop running batches."""
        if self.task is not None:
            self.task.cancel()
            await asyncio.gather(self.task, return_exceptions=True)

    @property
    def loaded_layer_count(self) -> int:
        """Number of layers that this engine has loaded."""
        return self.end_layer - self.first_layer

    @property
    def kv_used_tokens(self) -> int:
        """Number of positions whose KV state is stored."""
        return sum(item.positions for item in self.sequence_by_id.values())

    # The methods of the gRPC service.

    async def Info(self, request: epb.InfoRequest, context: Any) -> epb.InfoReply:
        """Return the model, layers and capacity of this engine."""
        return epb.InfoReply(
            model=self.model,
            layers=self.layers,
            first_layer=self.first_layer,
            end_layer=self.end_layer,
            kind=self.kind.name,
            kv_capacity_tokens=self.kind.kv_capacity_tokens,
            max_batch=self.kind.max_batch,
            checks_fencing=self.options.checks_fencing,
            memory_layers=self.kind.memory_layers,
            decode_rate=self.kind.compute_decode_rate(self.loaded_layer_count)
            * self.options.speed,
        )

    async def Run(
        self, request_iterator: AsyncIterator[epb.StepBatch], context: Any
    ) -> AsyncIterator[epb.StepResultBatch]:
        """Run steps and yield their results batch by batch."""
        result_queue: asyncio.Queue[Any] = asyncio.Queue()
        reader = asyncio.create_task(
            self._enqueue_steps(request_iterator, result_queue)
        )
        try:
            while True:
                batch = await result_queue.get()
                if batch is None:
                    return
                yield epb.StepResultBatch(results=batch)
        finally:
            reader.cancel()

    async def _enqueue_steps(
        self, batches: AsyncIterator[epb.StepBatch], result_queue: asyncio.Queue[Any]
    ) -> None:
        try:
            async for batch in batches:
                for step in batch.steps:
                    if step.cancel:
                        self._cancel(step.sequence)
                    else:
                        self.queue.append((step, result_queue))
                self.work_available.set()
        except grpc.RpcError:
            pass
        result_queue.put_nowait(None)

    def _cancel(self, sequence: str) -> None:
        """Free the state of a sequence and drop its queued steps."""
        self.sequence_by_id.pop(sequence, None)
        if self.running:
            self.cancelled_in_batch.add(sequence)
        if any(step.sequence == sequence for step, _ in self.queue):
            self.queue = deque(
                item for item in self.queue if item[0].sequence != sequence
            )

    async def Export(self, request: epb.KvRequest, context: Any) -> epb.KvBlob:
        """Return the KV state of a sequence."""
        sequence = self.sequence_by_id.get(request.sequence)
        if sequence is None:
            return epb.KvBlob(sequence=request.sequence, error="unknown_sequence")
        return epb.KvBlob(
            sequence=request.sequence,
            positions=sequence.positions,
            first_layer=self.first_layer,
            end_layer=self.end_layer,
            state=struct.pack(f"<{self.loaded_layer_count}Q", *sequence.states),
        )

    async def Import(self, request: epb.KvBlob, context: Any) -> epb.ImportReply:
        """Store the KV state of a sequence that another engine exported."""
        if (request.first_layer, request.end_layer) != (
            self.first_layer,
            self.end_layer,
        ):
            return epb.ImportReply(error="other_layers")
        sequence = Sequence(self.loaded_layer_count)
        sequence.states = list(
            struct.unpack(f"<{self.loaded_layer_count}Q", request.state)
        )
        sequence.positions = request.positions
        self.sequence_by_id[request.sequence] = sequence
        return epb.ImportReply()

    async def Load(self, request: epb.Order, context: Any) -> epb.OrderReply:
        """Load another range of layers, unless the order's fencing number is old."""
        if self.options.checks_fencing and request.fencing_number < self.fencing_number:
            return epb.OrderReply(
                accepted=False,
                error="old_fencing_number",
                highest_fencing_number=self.fencing_number,
            )
        self.fencing_number = max(self.fencing_number, request.fencing_number)
        self.model, self.layers = request.model, request.layers
        self.first_layer, self.end_layer = request.first_layer, request.end_layer
        self.sequence_by_id.clear()
        return epb.OrderReply(accepted=True, highest_fencing_number=self.fencing_number)

    async def Watch(
        self, request: epb.WatchRequest, context: Any
    ) -> AsyncIterator[epb.EngineEvent]:
        """Publish load and cache changes with a delay; some events are lost."""
        number = 0
        while True:
            await asyncio.sleep(REPORT_INTERVAL_MS / 1000)
            number += 1
            report = epb.EngineEvent(
                number=number,
                measured_at_ms=wall_clock_ms(),
                running=self.running,
                queued=len(self.queue),
                kv_used_tokens=self.kv_used_tokens,
                cached_prefixes=self.unreported_cached_prefixes,
                evicted_prefixes=self.unreported_evicted_prefixes,
            )
            self.unreported_cached_prefixes, self.unreported_evicted_prefixes = [], []
            await asyncio.sleep(REPORT_DELAY_MS / 1000)
            if self.random.random() >= self.options.event_loss:
                yield report

    # Execution of batches.

    async def _run_batches(self) -> None:
        while True:
            await self.work_available.wait()
            if not self.queue or self.stuck:
                self.work_available.clear()
                continue
            batch = self._take_batch()
            self.running = len(batch)
            await self._wait_batch_time(batch)
            self._compute_results(
                [
                    item
                    for item in batch
                    if item[0].sequence not in self.cancelled_in_batch
                ]
            )
            self.running = 0
            self.cancelled_in_batch.clear()

    def _take_batch(self) -> list[tuple[epb.Step, asyncio.Queue[Any]]]:
        """Remove the steps of highest priority from the queue and return them.

        Steps of the same priority keep their order.
        """
        steps_by_priority = sorted(self.queue, key=lambda item: -item[0].priority)
        batch = steps_by_priority[: self.kind.max_batch]
        batch_step_ids = {id(step) for step, _ in batch}
        self.queue = deque(
            item for item in self.queue if id(item[0]) not in batch_step_ids
        )
        return batch

    async def _wait_batch_time(
        self, batch: list[tuple[epb.Step, asyncio.Queue[Any]]]
    ) -> None:
        """Wait for the time that the accelerator would take for a batch."""
        positions = sum(
            max(1, self._count_uncached_positions(step)) for step, _ in batch
        )
        seconds = (
            self.kind.compute_batch_seconds(self.loaded_layer_count, positions)
            / self.options.speed
        )
        now_s = monotonic_ms() / 1000
        self.free_at_s = max(self.free_at_s, now_s) + seconds
        await asyncio.sleep(max(0.0, self.free_at_s - now_s))

    def _count_uncached_positions(self, step: epb.Step) -> int:
        """Return the number of positions to compute that the prefix cache lacks.

        Only the first stage caches prompt prefixes; new ones are added to the cache.
        """
        if self.first_layer or step.position:
            return step.count
        words = step.prompt.split()
        cached_tokens = 0
        for end in range(PREFIX_BLOCK_TOKENS, len(words) + 1, PREFIX_BLOCK_TOKENS):
            prefix = xxhash.xxh3_64_intdigest(" ".join(words[:end]).encode())
            if prefix in self.prefix_cache:
                self.prefix_cache.move_to_end(prefix)
                cached_tokens = end
                continue
            self.prefix_cache[prefix] = None
            self.unreported_cached_prefixes.append(prefix)
            if len(self.prefix_cache) > MAX_CACHED_PREFIXES:
                self.unreported_evicted_prefixes.append(
                    self.prefix_cache.popitem(last=False)[0]
                )
        return len(words) + len(step.tokens) - cached_tokens

    def _compute_results(
        self, batch: list[tuple[epb.Step, asyncio.Queue[Any]]]
    ) -> None:
        """Run the steps of a batch and send each stream the list of its results."""
        results_by_queue_id: dict[int, list[epb.StepResult]] = {}
        queue_by_id = {id(result_queue): result_queue for _, result_queue in batch}
        for step, result_queue in batch:
            result = self._run_step(step)
            results_by_queue_id.setdefault(id(result_queue), []).append(result)
        for queue_id, results in results_by_queue_id.items():
            queue_by_id[queue_id].put_nowait(results)

    def _run_step(self, step: epb.Step) -> epb.StepResult:
        if self.options.crash_word and self.options.crash_word in step.prompt:
            raise SystemExit(
                "the stand-in engine was stopped by a request with its crash word"
            )
        sequence = self.sequence_by_id.get(step.sequence)
        if sequence is None:
            sequence = self.sequence_by_id[step.sequence] = Sequence(
                self.loaded_layer_count
            )
        if self.kv_used_tokens + step.count > self.kind.kv_capacity_tokens:
            return epb.StepResult(
                sequence=step.sequence, position=step.position, error="kv_full"
            )
        inputs = self._compute_inputs(step)
        self.executions.record(
            step.sequence, sequence.positions, step.position, len(inputs)
        )
        outputs = [
            model.run_layers(sequence.states, self.first_layer, value)
            for value in inputs
        ]
        sequence.positions = step.position + len(inputs)
        result = epb.StepResult(
            sequence=step.sequence, position=step.position, count=len(inputs)
        )
        if self.end_layer == self.layers:
            sampled = model.sample(outputs[-1])
            result.token, result.text = sampled.token, sampled.text
            result.end_of_sequence = sampled.end_of_sequence
        else:
            result.activation = model.pack_activations(outputs)
        return result

    def _compute_inputs(self, step: epb.Step) -> list[int]:
        """Return the input of the first loaded layer for each position."""
        if self.first_layer:
            return model.unpack_activations(step.activation)
        tokens = list(step.tokens)
        if step.position == 0:
            tokens = model.tokenize(step.prompt) + tokens
        return [model.embed(token) for token in tokens]


__all__ = ["EngineOptions", "StandinEngine"]
