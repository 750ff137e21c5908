import assert from 'node:assert/strict';
import {test, type TestContext} from 'node:test';
import {pauseClock} from '../../__tests__/support/clock.js';
import {checkCallHistory} from '../../__tests__/support/history.js';
import {matchSnapshot} from '../../__tests__/support/snapshot.js';
import {
  TestBench,
  type DomainOptions,
} from '../../records/__tests__/support/domain.js';

/** Runs a scenario, checks its call history and compares its answers. */
function scenario(
  name: string,
  run: (bench: TestBench) => Promise<unknown>,
  options: DomainOptions = {},
): void {
  test(name, async (t: TestContext) => {
    pauseClock(t);
    const bench = new TestBench(t, options);
    const answers = await run(bench);
    const executions = bench.events.filter(({kind}) => kind === 'executed');
    assert.deepEqual(checkCallHistory(bench.events), []);
    matchSnapshot(import.meta.url, name, {
      answers,
      executions: executions.length,
    });
  });
}

scenario('a call without a key runs', async bench => {
  const answer = await bench.sendAndWait(0, {callId: 'one'});
  return answer.replace(/\d{13}-[0-9a-f-]{36}/, '<key>');
});

scenario('a resend at another entry gets the stored answer', async bench => {
  const key = bench.key('resend');
  const first = await bench.sendAndWait(0, {callId: 'one', key});
  const second = await bench.sendAndWait(1, {callId: 'two', key});
  const other = {callId: 'three', key, body: 'another sitting'};
  return [first, second, await bench.sendAndWait(1, other)];
});

scenario('concurrent duplicates join one execution', async bench => {
  const key = bench.key('joined');
  return Promise.all([
    bench.sendAndWait(0, {callId: 'one', key}),
    bench.sendAndWait(1, {callId: 'two', key}),
    bench.sendAndWait(1, {callId: 'three', key}),
  ]);
});

scenario('a refused call tries the other upstream', async bench => {
  bench.entries[0]!.service.faults = ['refuse'];
  const tried = await bench.sendAndWait(0, {
    callId: 'one',
    key: bench.key('a'),
  });
  bench.entries[0]!.service.faults = ['refuse', 'refuse'];
  const key = bench.key('refused');
  const refused = await bench.sendAndWait(0, {callId: 'two', key});
  const resent = await bench.sendAndWait(1, {callId: 'three', key});
  return [tried, refused, resent];
});

scenario('an upstream that dies leaves the outcome unknown', async bench => {
  const keys = ['request', 'answer'].map(name => bench.key(name));
  bench.entries[0]!.service.faults = ['lose_request', 'lose_answer'];
  const first = await bench.sendAndWait(0, {callId: 'one', key: keys[0]!});
  const second = await bench.sendAndWait(0, {callId: 'two', key: keys[1]!});
  const resent = await bench.sendAndWait(1, {callId: 'three', key: keys[1]!});
  return [first, second, resent];
});

scenario('an entry that dies leaves the outcome unknown', async bench => {
  const key = bench.key('crashed');
  bench.entries[0]!.service.faults = ['hang'];
  void bench.send(0, {callId: 'one', key});
  await bench.advance(100);
  bench.network.down.add('entry-a');
  const joined = bench.sendAndWait(1, {callId: 'two', key, timeoutMs: 2_000});
  const late = await joined;
  await bench.advance(20_000, 500);
  return [late, await bench.sendAndWait(1, {callId: 'three', key})];
});

scenario('a call continues after its caller disconnects', async bench => {
  const key = bench.key('left');
  void bench.send(0, {callId: 'one', key});
  await bench.advance(1_000);
  return bench.sendAndWait(1, {callId: 'two', key});
});

scenario('begin is retried after its reply is lost', async bench => {
  bench.network.lostReplies.add('records.begin');
  const answer = bench.sendAndWait(0, {callId: 'one', key: bench.key('lost')});
  await bench.advance(1_600);
  bench.network.lostReplies.clear();
  return answer;
});

scenario(
  'only a call without a key reports not run if replies to begin are lost',
  async bench => {
    const key = bench.key('unanswered');
    bench.network.lostReplies.add('records.begin');
    const keyed = await bench.sendAndWait(0, {callId: 'one', key});
    const keyless = await bench.sendAndWait(0, {callId: 'two'});
    bench.network.lostReplies.clear();
    await bench.advance(5_000);
    const pending = bench.entries[0]!.client.pendingFinishCount();
    const resent = await bench.sendAndWait(1, {callId: 'three', key});
    return [keyed, keyless, pending, resent];
  },
);

scenario('the records leader dies before and after begin', async bench => {
  const {network, domain} = bench;
  network.down.add('centro-0');
  const waiting = bench.sendAndWait(0, {callId: 'one', key: bench.key('one')});
  await bench.advance(1_000);
  domain.group.elect();
  const first = await waiting;
  bench.entries[0]!.service.faults = ['hang'];
  const key = bench.key('second');
  const late = bench.sendAndWait(0, {callId: 'two', key, timeoutMs: 1_000});
  network.down.delete('centro-0');
  network.down.add('centro-1');
  domain.group.elect();
  return [
    first,
    await late,
    await bench.sendAndWait(1, {callId: 'three', key}),
  ];
});

scenario(
  'a group without quorum refuses calls and keeps its records',
  async bench => {
    const key = bench.key('before');
    const before = await bench.sendAndWait(0, {callId: 'one', key});
    ['centro-1', 'centro-2'].forEach(name => bench.network.down.add(name));
    const refused = bench.key('refused');
    const during = await bench.sendAndWait(0, {callId: 'two', key: refused});
    const resent = await bench.sendAndWait(1, {callId: 'three', key});
    bench.network.down.clear();
    const after = await bench.sendAndWait(1, {callId: 'four', key: refused});
    return [before, during, resent, after];
  },
);

scenario('a resend finds the record after a partition heals', async bench => {
  const key = bench.key('parted');
  bench.network.cutOff.add('entry-b');
  const first = await bench.sendAndWait(0, {callId: 'one', key});
  const parted = await bench.sendAndWait(1, {callId: 'two', key});
  bench.network.cutOff.clear();
  return [first, parted, await bench.sendAndWait(1, {callId: 'three', key})];
});

scenario(
  'a resend after a group restart gets the stored answer',
  async bench => {
    const key = bench.key('restart');
    const first = await bench.sendAndWait(0, {callId: 'one', key});
    bench.domain.restart(true);
    return [first, await bench.sendAndWait(1, {callId: 'two', key})];
  },
);

scenario(
  'a group without disks that restarts answers unknown',
  async bench => {
    const key = bench.key('memory');
    await bench.advance(301_000, 1_000);
    const first = await bench.sendAndWait(0, {
      callId: 'one',
      key: bench.key('a'),
    });
    bench.domain.restart(false);
    const resent = await bench.sendAndWait(1, {callId: 'two', key});
    const keyless = await bench.sendAndWait(1, {callId: 'three'});
    await bench.advance(301_000, 1_000);
    const later = bench.key('later');
    return [
      first.split(' ')[0],
      resent,
      keyless.split(' ')[0],
      await bench.sendAndWait(1, {callId: 'four', key: later}),
    ];
  },
  {hasDiskMember: false},
);

scenario('keys that are malformed, expired or from the future', async bench => {
  const keys = [
    'short',
    bench.key('old', 86_400_000),
    bench.key('new', -300_050),
  ];
  return Promise.all(
    keys.map((key, index) => bench.sendAndWait(0, {callId: `${index}`, key})),
  );
});

scenario('an answer after the deadline is still recorded', async bench => {
  const key = bench.key('slow');
  const call = {callId: 'one', key, timeoutMs: 1_000};
  const {service} = bench.entries[0]!;
  const dispatch = service.dispatch.bind(service);
  service.dispatch = async (target, request) => {
    await new Promise(resolve => setTimeout(resolve, 2_000));
    return dispatch(target, request);
  };
  const first = await bench.sendAndWait(0, call);
  const draining = bench.entries[0]!.runner.drain(5_000);
  await bench.advance(3_000);
  await draining;
  const left = bench.entries[0]!.runner.inFlightCount();
  return [first, left, await bench.sendAndWait(1, {callId: 'two', key})];
});

scenario('a planned stop lets calls in flight finish', async bench => {
  const {runner, service, client} = bench.entries[0]!;
  const dispatch = service.dispatch.bind(service);
  service.dispatch = async (target, request) => {
    await new Promise(resolve => setTimeout(resolve, 2_000));
    return dispatch(target, request);
  };
  const answer = bench.send(0, {callId: 'one', key: bench.key('last')});
  await bench.advance(100);
  const drained = {value: false};
  const draining = runner.drain(5_000).then(() => (drained.value = true));
  await bench.advance(1_000);
  const before = [drained.value, runner.inFlightCount()];
  await bench.advance(2_000);
  await draining;
  const after = [runner.inFlightCount(), client.pendingFinishCount()];
  return [before, await answer, after];
});

scenario(
  'a workspace with too many records refuses new calls only',
  async bench => {
    const keys = ['one', 'two', 'three'].map(name => bench.key(name));
    const send = (callId: string, index: number) =>
      bench.sendAndWait(0, {callId, key: keys[index]!});
    return [
      await send('one', 0),
      await send('two', 1),
      await send('three', 2),
      await send('four', 0),
    ];
  },
  {maxRecordsPerWorkspace: 2},
);

scenario('a long answer is kept as status and digest', async bench => {
  const key = `${bench.key('long').slice(0, 14)}${'l'.repeat(64)}`;
  const callId = 'c'.repeat(17_000);
  const first = await bench.sendAndWait(0, {callId, key});
  return [first.length, await bench.sendAndWait(1, {callId: 'two', key})];
});
