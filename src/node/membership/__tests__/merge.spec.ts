/**
 * Checks that merging converges although messages are lost, reordered or
 * duplicated, and that the compact wire forms lose nothing.
 */
import assert from 'node:assert/strict';
import {test} from 'node:test';
import fc from 'fast-check';
import {asId, type MemberId, type UpstreamId} from '../../types/ids.js';
import {deltasBeyond, type Delta, digestOf} from '../digest.js';
import {decodeCounts, encodeCounts, ItemKind} from '../items.js';
import {merge} from '../merge.js';
import {assignedUpstreams} from '../polling.js';
import {createGossipState, type GossipState, publish} from '../state.js';
import {
  decodeSeqs,
  decodeWants,
  encodeSeqs,
  encodeWants,
  OriginNames,
  packDeltas,
  type PackedDeltas,
  unpackDeltas,
} from '../wire.js';

const NODES = 4;

type Step =
  | {kind: 'publish'; node: number; key: string; value: number}
  | {kind: 'send'; from: number; to: number}
  | {kind: 'deliver'; pick: number; keepCopy: boolean}
  | {kind: 'lose'; pick: number};

const node = fc.nat({max: NODES - 1});
const step: fc.Arbitrary<Step> = fc.oneof(
  fc.record({
    kind: fc.constant('publish' as const),
    node,
    key: fc.constantFrom('a', 'b', 'c'),
    value: fc.nat({max: 9}),
  }),
  fc.record({kind: fc.constant('send' as const), from: node, to: node}),
  fc.record({
    kind: fc.constant('deliver' as const),
    pick: fc.nat(),
    keepCopy: fc.boolean(),
  }),
  fc.record({kind: fc.constant('lose' as const), pick: fc.nat()}),
);

class Model {
  readonly states = Array.from({length: NODES}, (_, index) =>
    createGossipState(asId<MemberId>(`n${index}#1`), 0),
  );
  private readonly inFlight: {to: number; deltas: Delta[]}[] = [];

  at(index: number): GossipState {
    return this.states[index] as GossipState;
  }

  run(next: Step): void {
    if (next.kind === 'publish') {
      this.states[next.node] = publish(
        this.at(next.node),
        ItemKind.load,
        next.key,
        [0, next.value],
      );
      return;
    }
    if (next.kind === 'send') {
      const known = digestOf(this.at(next.to));
      const deltas = deltasBeyond(this.at(next.from), known, 0);
      this.inFlight.push({to: next.to, deltas});
      return;
    }
    const index = next.pick % Math.max(1, this.inFlight.length);
    const message = this.inFlight[index];
    if (message === undefined) return;
    if (next.kind === 'lose' || !next.keepCopy) this.inFlight.splice(index, 1);
    if (next.kind === 'lose') return;
    this.states[message.to] = merge(this.at(message.to), message.deltas, 0);
  }

  /** Items of all origins in the state of this node. */
  itemsOf(index: number): string {
    return JSON.stringify(
      [...this.at(index).origins.values()]
        .filter(origin => origin.seq > 0)
        .map(origin => [origin.memberId, [...origin.items.entries()].sort()])
        .sort(),
    );
  }
}

test('all nodes converge after lossless exchanges, whatever was lost before', () => {
  fc.assert(
    fc.property(fc.array(step, {maxLength: 120}), steps => {
      const model = new Model();
      steps.forEach(next => model.run(next));
      const pairs = Array.from({length: 2 * NODES * NODES}, (_, index) => ({
        from: index % NODES,
        to: Math.floor(index / NODES) % NODES,
      }));
      pairs.forEach(({from, to}) => {
        const deltas = deltasBeyond(model.at(from), digestOf(model.at(to)), 0);
        model.states[to] = merge(model.at(to), deltas, 0);
      });
      const views = model.states.map((_, index) => model.itemsOf(index));
      assert.equal(new Set(views).size, 1);
    }),
    {numRuns: 300, seed: 20},
  );
});

test('a node has all items up to the sequence number of each origin', () => {
  fc.assert(
    fc.property(fc.array(step, {maxLength: 120}), steps => {
      const model = new Model();
      steps.forEach(next => model.run(next));
      model.states.forEach(state =>
        state.origins.forEach(origin => {
          const index = Number(origin.instanceId.slice(1));
          const own = model.at(index).origins.get(origin.memberId);
          const due = [...(own?.items.values() ?? [])].filter(
            item => item.seq <= origin.seq,
          );
          due.forEach(item =>
            assert.deepEqual(
              origin.items.get(`${item.kind}:${item.key}`),
              item,
            ),
          );
        }),
      );
    }),
    {numRuns: 300, seed: 21},
  );
});

test('short digests and deltas keep sequence numbers, also beyond three bytes', () => {
  const seq = fc.oneof(
    fc.nat({max: 1_000}),
    fc.integer({min: 2 ** 24 - 300, max: 2 ** 24 + 300}),
    fc.integer({min: 3e9, max: 3e9 + 5_000}),
  );
  fc.assert(
    fc.property(
      fc.array(fc.tuple(seq, fc.integer({min: -600, max: 600})), {
        minLength: 1,
        maxLength: 300,
      }),
      pairs => {
        const id = (index: number): MemberId => asId(`n${index}#1`);
        const clamp = (value: number): number => Math.max(0, value);
        const theirs = new Map(pairs.map(([own], index) => [id(index), own]));
        const own = new Map(
          pairs.map(([known, more], index) => [id(index), clamp(known + more)]),
        );
        const names = new OriginNames(theirs);
        const sent = encodeSeqs(theirs, names);
        assert.deepEqual(
          [...decodeSeqs(sent, own, names)].sort(),
          [...theirs].sort(),
        );
        const deltas = [...theirs].map(([memberId, value]) => ({
          memberId,
          seq: value,
          quietMs: value % 3 === 0 ? 2_500 : 0,
          items: [],
        }));
        const packed = JSON.parse(
          JSON.stringify(packDeltas(deltas, names)),
        ) as PackedDeltas;
        assert.deepEqual(unpackDeltas(packed, own, names), deltas);
        const behind = new Map(
          [...own].filter(([key, value]) => value < (theirs.get(key) ?? 0)),
        );
        decodeWants(encodeWants(behind, theirs, names), theirs, names).forEach(
          (known, key) => assert.ok(known === 0 || known === own.get(key)),
        );
      },
    ),
    {numRuns: 200, seed: 23},
  );
});

test('counts survive encoding and decoding', () => {
  fc.assert(
    fc.property(fc.array(fc.nat({max: 1e9})), counts =>
      assert.deepEqual(decodeCounts(encodeCounts(counts)), counts),
    ),
    {seed: 22},
  );
});

test('each upstream is polled by exactly one live instance', () => {
  const live = Array.from({length: 26}, (_, index) => asId<never>(`e${index}`));
  const upstreams = Array.from({length: 600}, (_, index) =>
    asId<UpstreamId>(`w${index}`),
  );
  const counts = live.map(
    self => assignedUpstreams(upstreams, live, self).length,
  );
  assert.equal(
    counts.reduce((sum, count) => sum + count, 0),
    600,
  );
  assert.ok(Math.max(...counts) <= 45, `uneven assignment: ${counts.join()}`);
});
