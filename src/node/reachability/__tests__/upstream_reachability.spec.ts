import assert from 'node:assert/strict';
import {test, type TestContext} from 'node:test';
import {advanceClock} from '../../__tests__/support/advance_clock.js';
import {pauseClock} from '../../__tests__/support/clock.js';
import {monotonicNowMs} from '../../clock/clock.js';
import type {Logger} from '../../logging/logger.js';
import {MetricsRegistry} from '../../metrics/registry.js';
import {asId, type UpstreamId} from '../../types/ids.js';
import {UpstreamReachability} from '../upstream_reachability.js';

const SILENT = {
  info: () => undefined,
  warn: () => undefined,
} as unknown as Logger;
const NAMES = ['a', 'b', 'c'];

/** An entry that uses three upstreams; a test closes the paths to them. */
class Fixture {
  readonly closed = new Set<string>();
  /** Upstreams that have just sent something. */
  readonly heard = new Set<string>();
  readonly lines: string[] = [];
  readonly triedAddresses: string[] = [];
  readonly reachability = new UpstreamReachability({
    canConnect: address => {
      this.triedAddresses.push(address);
      return Promise.resolve(!this.closed.has(address));
    },
    heardAtMs: id =>
      this.heard.has(id) ? monotonicNowMs() : Number.NEGATIVE_INFINITY,
    onLost: ({address}) => this.lines.push(`lost ${address}`),
    onCutOff: isCutOff => this.lines.push(isCutOff ? 'cut off' : 'connected'),
    logger: SILENT,
    metrics: new MetricsRegistry(),
  });

  constructor(t: TestContext) {
    pauseClock(t);
    this.reachability.start();
    t.after(() => this.reachability.stop());
    this.use(NAMES);
  }

  use(names: readonly string[]): void {
    names.forEach(name =>
      this.reachability.noteUse({upstreamId: idOf(name), address: name}),
    );
  }

  close(names: readonly string[]): void {
    names.forEach(name => this.closed.add(name));
  }
}

function idOf(name: string): UpstreamId {
  return asId<UpstreamId>(name);
}

// Guards against an entry that finds out upstream by upstream, a failed request
// at a time, that it is cut off from all of them.
test('one lost path shows that all are lost, and one regained path all', async t => {
  const fixture = new Fixture(t);
  fixture.close(NAMES);
  fixture.reachability.doubt(idOf('a'));
  await advanceClock(t, 100, 10);
  const lost = fixture.reachability.unreachable();
  fixture.closed.clear();
  await advanceClock(t, 600, 10);
  assert.deepEqual(
    [lost, fixture.lines, fixture.reachability.unreachable()],
    [NAMES, ['lost a', 'lost b', 'lost c', 'cut off', 'connected'], []],
  );
});

// Guards against the connections that every crash of an upstream would cost if
// each entry then tried all others.
test('an upstream that has just sent something is not tried', async t => {
  const fixture = new Fixture(t);
  fixture.close(['a']);
  ['b', 'c'].forEach(name => fixture.heard.add(name));
  fixture.reachability.doubt(idOf('a'));
  await advanceClock(t, 100, 10);
  assert.deepEqual(
    [
      fixture.reachability.unreachable(),
      fixture.triedAddresses.length,
      fixture.lines,
    ],
    [['a'], 2, ['lost a']],
  );
});

// Guards against an entry that takes seconds to find out that it is cut off, since
// the upstreams that it had just heard from are tried only when a request fails.
test('an upstream that falls silent after another is lost is tried', async t => {
  const fixture = new Fixture(t);
  fixture.close(NAMES);
  ['b', 'c'].forEach(name => fixture.heard.add(name));
  fixture.reachability.doubt(idOf('a'));
  await advanceClock(t, 100, 10);
  const lost = fixture.reachability.unreachable();
  fixture.heard.clear();
  await advanceClock(t, 1_500, 10);
  assert.deepEqual([lost, fixture.reachability.unreachable()], [['a'], NAMES]);
});

// Guards against connections that are opened for ever while one upstream is down.
test('a silent upstream is tried once after another is lost', async t => {
  const fixture = new Fixture(t);
  fixture.close(['a']);
  ['b', 'c'].forEach(name => fixture.heard.add(name));
  fixture.reachability.doubt(idOf('a'));
  await advanceClock(t, 100, 10);
  fixture.heard.clear();
  const triedOf = (name: string): number =>
    fixture.triedAddresses.filter(each => each === name).length;
  await advanceClock(t, 10_000, 10);
  assert.deepEqual([triedOf('b'), triedOf('c')], [1, 1]);
});

// Guards against a lost packet that takes a sound path.
test('a single failed connection loses no path', async t => {
  const fixture = new Fixture(t);
  fixture.close(['a']);
  fixture.reachability.doubt(idOf('a'));
  fixture.closed.clear();
  await advanceClock(t, 100, 10);
  assert.deepEqual(fixture.lines, []);
});

// Guards against an entry that counts as cut off because the only upstream that
// it uses has crashed, and against upstreams that are tried for ever.
test('a single upstream does not cut an entry off, and is forgotten', async t => {
  const fixture = new Fixture(t);
  await advanceClock(t, 31_000, 100);
  fixture.use(['a']);
  fixture.close(['a']);
  fixture.reachability.doubt(idOf('a'));
  await advanceClock(t, 1_000, 100);
  const lost = fixture.reachability.unreachable();
  await advanceClock(t, 60_000, 100);
  assert.deepEqual(
    [lost, fixture.lines, fixture.reachability.unreachable()],
    [['a'], ['lost a'], []],
  );
});
