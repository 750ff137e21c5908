/** Guards against an upstream that gets orders of two lease holders at once. */
import assert from 'node:assert/strict';
import {test} from 'node:test';
import fc from 'fast-check';
import {err, ok, okAsync, type Result, ResultAsync} from 'neverthrow';
import {setMonotonicSource} from '../../clock/clock.js';
import {GatewayError} from '../../types/errors.js';
import {
  asId,
  asNumber,
  type LogIndex,
  type MemberId,
  type ModelId,
  type UpstreamId,
} from '../../types/ids.js';
import {
  applyLease,
  type LeaseCommand,
  type LeaseResult,
  type LeaseState,
} from '../lease.js';
import {OrderIssuer} from '../order_issuer.js';
import {type Order, OrderSink} from '../order_sink.js';

const LEASE = 'orders';
const ORDER_TIMEOUT_MS = 800;
const NODES = 3;

interface Arrival {
  readonly atMs: number;
  readonly token: number;
  readonly holder: number;
}

type Step =
  | {kind: 'wait'; ms: number}
  | {kind: 'freeze'; node: number; ms: number}
  | {kind: 'lead'; node: number}
  | {kind: 'cut'; node: number; ms: number};

interface Node {
  readonly issuer: OrderIssuer;
  readonly clock: () => number;
  applied: number;
  frozenUntilMs: number;
  partitionedUntilMs: number;
}

const timedOut = (): GatewayError =>
  new GatewayError({
    code: 'timeout',
    message: 'the command timed out',
    step: 'log',
    peer: 'log',
  });

/**
 * Simulates issuers that share a log; their clocks differ in offset and rate.
 */
class Simulation {
  nowMs = 0;
  leader = 0;
  readonly arrivals: Arrival[] = [];
  readonly states: LeaseState[] = [{}];
  readonly nodes: Node[];
  private transitMs = 0;

  constructor(rates: readonly number[]) {
    this.nodes = rates.map((rate, index) => {
      const clock = (): number => index * 1e6 + this.nowMs * rate;
      return this.runAs(clock, () => this.createNode(index, clock));
    });
  }

  private createNode(index: number, clock: () => number): Node {
    const record = (order: Order): void => {
      const atMs = this.nowMs + this.transitMs;
      this.arrivals.push({atMs, token: Number(order.token), holder: index});
    };
    class Sink extends OrderSink {
      override send(order: Order): ResultAsync<void, GatewayError> {
        record(order);
        return okAsync(undefined);
      }
    }
    const issuer = new OrderIssuer({
      self: asId<MemberId>(`n${index}#1`),
      lease: LEASE,
      propose: command => new ResultAsync(this.propose(index, command)),
      currentLease: () => this.states[this.nodes[index]?.applied ?? 0]?.[LEASE],
      isLeader: () => this.leader === index,
      sink: new Sink(),
    });
    return {issuer, clock, applied: 0, frozenUntilMs: 0, partitionedUntilMs: 0};
  }

  private runAs<T>(clock: () => number, run: () => T): T {
    const source = setMonotonicSource(clock);
    try {
      return run();
    } finally {
      source.restore();
    }
  }

  private propose(
    index: number,
    command: LeaseCommand,
  ): Promise<Result<LeaseResult, GatewayError>> {
    const node = this.nodes[index];
    // A partitioned process gets a timeout, whether its command was lost or was
    // applied and only the response was lost.
    const isPartitioned =
      node !== undefined && this.nowMs < node.partitionedUntilMs;
    if (isPartitioned && Math.floor(this.nowMs) % 2 === 0) {
      return Promise.resolve(err(timedOut()));
    }
    const logIndex = asNumber<LogIndex>(this.states.length);
    const before = this.states[this.states.length - 1] ?? {};
    const {state, result} = applyLease(before, command, logIndex);
    this.states.push(state);
    if (isPartitioned) return Promise.resolve(err(timedOut()));
    if (node !== undefined) node.applied = Number(logIndex);
    return Promise.resolve(ok(result));
  }

  /**
   * Advances the time. Every 200 ms each process that is not frozen first tries
   * to send an order, even under a lease from before it was frozen.
   */
  async wait(ms: number): Promise<void> {
    const untilMs = this.nowMs + ms;
    while (this.nowMs < untilMs) {
      this.nowMs = Math.min(untilMs, this.nowMs + 200);
      for (const [index, node] of this.nodes.entries()) {
        if (this.nowMs < node.frozenUntilMs) continue;
        const isPartitioned = this.nowMs < node.partitionedUntilMs;
        if (!isPartitioned) node.applied = this.states.length - 1;
        const source = setMonotonicSource(node.clock);
        this.sendOrder(index, node);
        await node.issuer.advance();
        source.restore();
      }
    }
  }

  private sendOrder(index: number, {issuer}: Node): void {
    const transits = [0, ORDER_TIMEOUT_MS - 1, 130, 410];
    this.transitMs = transits[(this.arrivals.length + index) % 4] ?? 0;
    const modelId = asId<ModelId>('caption');
    const order = {
      upstreamId: asId<UpstreamId>('worker-1'),
      action: {kind: 'load_model', modelId},
    } as const;
    void issuer.send(order, ORDER_TIMEOUT_MS);
  }

  async run(step: Step): Promise<void> {
    if (step.kind === 'wait') return this.wait(step.ms);
    if (step.kind === 'lead') {
      this.leader = step.node;
      return;
    }
    const node = this.nodes[step.node];
    if (node === undefined) return;
    if (step.kind === 'freeze') node.frozenUntilMs = this.nowMs + step.ms;
    if (step.kind === 'cut') node.partitionedUntilMs = this.nowMs + step.ms;
  }
}

const node = fc.nat({max: NODES - 1});
const steps: fc.Arbitrary<Step[]> = fc.array(
  fc.oneof(
    {
      weight: 4,
      arbitrary: fc.record({
        kind: fc.constant('wait' as const),
        ms: fc.integer({min: 1, max: 3_000}),
      }),
    },
    {
      weight: 1,
      arbitrary: fc.record({
        kind: fc.constant('lead' as const),
        node,
      }),
    },
    {
      weight: 1,
      arbitrary: fc.record({
        kind: fc.constantFrom('freeze' as const, 'cut' as const),
        node,
        ms: fc.integer({min: 1_000, max: 20_000}),
      }),
    },
  ),
  {minLength: 20, maxLength: 60},
);
const rates = fc.array(fc.double({min: 0.996, max: 1.004, noNaN: true}), {
  minLength: NODES,
  maxLength: NODES,
});

test('an upstream without a token check never gets interleaved orders', async () => {
  let handovers = 0;
  await fc.assert(
    fc.asyncProperty(rates, steps, async (clockRates, sequence) => {
      const simulation = new Simulation(clockRates);
      await simulation.wait(8_000);
      for (const step of sequence) await simulation.run(step);
      const arrived = [...simulation.arrivals].sort((a, b) => a.atMs - b.atMs);
      arrived.slice(1).forEach((arrival, index) => {
        const previous = arrived[index];
        assert.ok(previous !== undefined && previous.token <= arrival.token);
        if (previous.token < arrival.token) handovers++;
      });
    }),
    {numRuns: 300, seed: 30},
  );
  assert.ok(
    handovers > 300,
    `only ${handovers} changes of the lease holder occurred`,
  );
});

test('an upstream with a token check accepts no order of a previous holder', async () => {
  await fc.assert(
    fc.asyncProperty(rates, steps, async (clockRates, sequence) => {
      const simulation = new Simulation(clockRates);
      await simulation.wait(8_000);
      for (const step of sequence) await simulation.run(step);
      // Shuffles the arrivals, since the check must hold for any transit times.
      const arrived = [...simulation.arrivals].sort(
        (a, b) => ((a.atMs * 7919) % 10_007) - ((b.atMs * 7919) % 10_007),
      );
      let highest = 0;
      const accepted = arrived.filter(({token}) => {
        if (token < highest) return false;
        highest = token;
        return true;
      });
      const holderOf = new Map<number, number>();
      accepted.forEach(({token, holder}) => {
        const expected = holderOf.get(token) ?? holder;
        assert.equal(expected, holder, 'a token belongs to one holder');
        holderOf.set(token, holder);
      });
    }),
    {numRuns: 50, seed: 31},
  );
});

test('a lease changes its holder only after a release or an observed expiry', () => {
  const index = (value: number): LogIndex => asNumber<LogIndex>(value);
  const acquire = (
    holder: string,
    expired?: {token: number; renewals: number},
  ): LeaseCommand => ({
    kind: 'acquire',
    lease: LEASE,
    holder,
    durationMs: 6_000,
    ...(expired === undefined ? {} : {expired}),
  });
  const first = applyLease({}, acquire('a#1'), index(5));
  assert.equal(first.result.kind, 'granted');
  const second = applyLease(first.state, acquire('b#1'), index(6));
  assert.equal(second.result.kind, 'held');
  const renewed = applyLease(
    second.state,
    {kind: 'renew', lease: LEASE, holder: 'a#1', token: 5},
    index(7),
  );
  assert.equal(renewed.result.kind, 'renewed');
  const stale = applyLease(
    renewed.state,
    acquire('b#1', {token: 5, renewals: 0}),
    index(8),
  );
  assert.equal(
    stale.result.kind,
    'held',
    'the candidate has not observed the renewal',
  );
  const taken = applyLease(
    renewed.state,
    acquire('b#1', {token: 5, renewals: 1}),
    index(9),
  );
  assert.equal(taken.state[LEASE]?.token, 9);
  const late = applyLease(
    taken.state,
    {kind: 'renew', lease: LEASE, holder: 'a#1', token: 5},
    index(10),
  );
  assert.equal(late.result.kind, 'lost');
});
