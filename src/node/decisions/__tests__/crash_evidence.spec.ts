import assert from 'node:assert/strict';
import {test} from 'node:test';
import {matchSnapshot} from '../../__tests__/support/snapshot.js';
import {asId, type SuspectId} from '../../types/ids.js';
import {
  CLEARANCE_WAIT_MS,
  MAX_REPORTED_SUSPECTS,
  MAX_SUSPECTS,
  QUARANTINE_MS,
} from '../quarantine/constants.js';
import {CrashEvidence} from '../quarantine/crash_evidence.js';

const [COMMON, CRASHING, RARE] = ['common', 'crashing', 'rare'].map(name =>
  asId<SuspectId>(name),
) as [SuspectId, SuspectId, SuspectId];
const RUN_MS = 100;
const INTERVAL_MS = 1_000;

function requestOf(name: string): SuspectId {
  return asId<SuspectId>(`request:${name}`);
}

/** Crashes one upstream each second, under requests with these suspects. */
function crashInARow(
  evidence: CrashEvidence,
  suspects: readonly SuspectId[],
  times: number,
  startMs = 0,
): number {
  return Array.from({length: times}).reduce<number>((nowMs, _, index) => {
    const crashedAtMs = nowMs + RUN_MS;
    const crashId = `${startMs}-${index}`;
    const request = requestOf(crashId);
    const run = {shared: suspects, request, sentAtMs: nowMs};
    evidence.noteCrash(crashId, crashedAtMs, [run], crashedAtMs);
    return nowMs + INTERVAL_MS;
  }, startMs);
}

function stateOf(evidence: CrashEvidence, nowMs: number): readonly string[] {
  evidence.update(nowMs);
  return [COMMON, CRASHING, RARE].map(each => {
    const verdict = evidence.verdict([each], nowMs);
    const forMs = verdict.kind === 'quarantined' ? ` ${verdict.forMs} ms` : '';
    return `${each}: ${verdict.kind}${forMs}`;
  });
}

// Guards against upstreams that crash one after another under requests with one
// prompt part, and against a quarantine of what they share with sound ones.
test('the least common suspect of three crashes in a row is quarantined', () => {
  const evidence = new CrashEvidence();
  const twiceMs = crashInARow(evidence, [COMMON, CRASHING], 2);
  const afterTwo = stateOf(evidence, twiceMs + CLEARANCE_WAIT_MS);
  const nowMs = crashInARow(evidence, [COMMON, CRASHING], 1, twiceMs);
  const early = stateOf(evidence, nowMs - INTERVAL_MS + RUN_MS);
  const afterThree = stateOf(evidence, nowMs);
  matchSnapshot(import.meta.url, 'crashes in a row', {
    afterTwo,
    early,
    afterThree,
  });
});

// Guards against a quarantine of all popular prompt parts when a region is lost:
// each of them ran on every upstream at that time.
test('upstreams lost at once are one crash in a row', () => {
  const evidence = new CrashEvidence();
  Array.from({length: 8}, (_, index) =>
    evidence.noteCrash(
      `lost-${index}`,
      RUN_MS + index,
      [{shared: [COMMON], request: requestOf(`${index}`), sentAtMs: index}],
      RUN_MS + index,
    ),
  );
  assert.deepEqual(stateOf(evidence, INTERVAL_MS)[0], 'common: clear');
});

// Guards against a quarantine of what is answered between unrelated crashes.
test('an answer between two crashes starts the count anew', () => {
  const evidence = new CrashEvidence();
  const nowMs = crashInARow(evidence, [COMMON], 2);
  evidence.noteAnswered([COMMON], nowMs);
  const laterMs = crashInARow(evidence, [COMMON], 2, nowMs + 1);
  assert.deepEqual(stateOf(evidence, laterMs)[0], 'common: clear');
});

// Guards against a bystander that is quarantined for the crashes of another
// suspect, because it ran on the same upstreams.
test('explained crashes do not count against other suspects', () => {
  const evidence = new CrashEvidence();
  const nowMs = crashInARow(evidence, [COMMON, CRASHING], 3);
  evidence.update(nowMs);
  const laterMs = crashInARow(evidence, [RARE, CRASHING], 2, nowMs);
  assert.deepEqual(
    stateOf(evidence, laterMs).map(line => line.split(' ')[1]),
    ['clear', 'quarantined', 'clear'],
  );
});

// Guards against regions that each wait for crashes of their own, and against
// a common suspect that is quarantined where no upstream is left to answer it.
test('instances decide on the crashes and answers of all of them', () => {
  const instances = Array.from({length: 3}, () => new CrashEvidence());
  const [first, second, third] = instances as [
    CrashEvidence,
    CrashEvidence,
    CrashEvidence,
  ];
  const atMs = instances.reduce(
    (nowMs, each) => crashInARow(each, [COMMON, CRASHING], 1, nowMs),
    0,
  );
  const share = (nowMs: number): void =>
    instances.forEach(from =>
      instances
        .filter(each => each !== from)
        .forEach(each => each.merge(from.reports(nowMs), nowMs)),
    );
  share(atMs);
  third.noteAnswered([COMMON], atMs + 1);
  share(atMs + 2);
  share(atMs + 2);
  const laterMs = atMs + CLEARANCE_WAIT_MS;
  const states = instances.map(each =>
    stateOf(each, laterMs).map(line => line.split(' ', 2).join(' ')),
  );
  assert.deepEqual(states, [
    ['common: clear', 'crashing: quarantined', 'rare: clear'],
    ['common: clear', 'crashing: quarantined', 'rare: clear'],
    ['common: clear', 'crashing: quarantined', 'rare: clear'],
  ]);
  first.merge(second.reports(laterMs), laterMs);
  assert.equal(first.reports(laterMs)[0]?.crashes.length, 3, 'idempotent');
});

// Guards against a scheduler that starts and sends what is in quarantine until
// it has decided itself.
test('a decided quarantine is taken over at once', () => {
  const [from, to] = [new CrashEvidence(), new CrashEvidence()];
  const nowMs = crashInARow(from, [CRASHING], 3);
  from.update(nowMs);
  to.merge(from.reports(nowMs), nowMs);
  assert.equal(to.verdict([CRASHING], nowMs).kind, 'quarantined');
});

// Guards against a sound suspect that stays in quarantine for ever, and against
// one crash after another by requests that try it again.
test('a quarantined suspect is tried again, later after each crash', () => {
  const evidence = new CrashEvidence();
  const remote = new CrashEvidence();
  const nowMs = crashInARow(evidence, [CRASHING], 3);
  remote.merge(evidence.reports(nowMs), nowMs);
  const kindAt = (each: CrashEvidence, atMs: number): string => {
    each.update(atMs);
    return each.verdict([CRASHING], atMs).kind;
  };
  const kinds = (atMs: number) => ({
    observer: kindAt(evidence, atMs),
    remote: kindAt(remote, atMs),
  });
  kinds(nowMs + CLEARANCE_WAIT_MS);
  const firstTrialMs = nowMs + QUARANTINE_MS;
  const due = kinds(firstTrialMs);
  evidence.noteTrial([CRASHING], firstTrialMs);
  const running = kinds(firstTrialMs + 1);
  const afterMs = crashInARow(evidence, [CRASHING], 1, firstTrialMs + 1);
  const afterCrash = kinds(afterMs + QUARANTINE_MS);
  const secondTrialMs = afterMs + 2 * QUARANTINE_MS;
  const dueAgain = kinds(secondTrialMs);
  evidence.noteTrial([CRASHING], secondTrialMs);
  evidence.noteAnswered([CRASHING], secondTrialMs + RUN_MS);
  const answered = kinds(secondTrialMs + RUN_MS);
  matchSnapshot(import.meta.url, 'trials', {
    due,
    running,
    afterCrash,
    dueAgain,
    answered,
  });
});

// Guards against memory and messages that grow with the number of prompt parts.
test('the number of suspects kept and reported is bounded', () => {
  const evidence = new CrashEvidence();
  const suspects = Array.from({length: 2 * MAX_SUSPECTS}, (_, index) =>
    asId<SuspectId>(`s${index}`),
  );
  const run = {shared: suspects, request: requestOf('many'), sentAtMs: 0};
  evidence.noteCrash('many', 1, [run], 1);
  assert.equal(evidence.reports(1).length, MAX_REPORTED_SUSPECTS);
  assert.equal(evidence.suspectCount, MAX_SUSPECTS);
});

// Guards against upstreams that crash under one request that its caller sends
// again, and against a quarantine of bystanders for that.
test('a request that is sent again is quarantined with its own parts', () => {
  const evidence = new CrashEvidence();
  const again = requestOf('again');
  Array.from({length: 3}, (_, index) => {
    const sentAtMs = index * INTERVAL_MS;
    const atMs = sentAtMs + RUN_MS;
    const runs = [
      {shared: [COMMON, CRASHING], request: again, sentAtMs},
      {shared: [COMMON, RARE], request: requestOf(`x${index}`), sentAtMs},
    ];
    evidence.noteCrash(`u${index}`, atMs, runs, atMs);
  });
  const nowMs = 3 * INTERVAL_MS;
  const states = stateOf(evidence, nowMs).map(line => line.split(' ')[1]);
  assert.deepEqual(states, ['clear', 'quarantined', 'clear']);
  assert.equal(evidence.verdict([again], nowMs).kind, 'quarantined');
});

// Guards against a quarantine of the parts of such a request that others share
// and that are answered.
test('what is answered elsewhere is not quarantined with a request', () => {
  const evidence = new CrashEvidence();
  const request = requestOf('again');
  Array.from({length: 3}, (_, index) => {
    const sentAtMs = index * INTERVAL_MS;
    const atMs = sentAtMs + RUN_MS;
    const run = {shared: [COMMON], request, sentAtMs};
    evidence.noteCrash(`u${index}`, atMs, [run], atMs);
    evidence.noteAnswered([COMMON], atMs + 1);
  });
  const nowMs = 3 * INTERVAL_MS;
  assert.equal(stateOf(evidence, nowMs)[0], 'common: clear');
  assert.equal(evidence.verdict([request], nowMs).kind, 'quarantined');
});

// Guards against instances that all try a quarantined suspect at the same time,
// after the one that observed the last crash is gone.
test('instances that did not observe the crash try at different times', () => {
  const observer = new CrashEvidence();
  const nowMs = crashInARow(observer, [CRASHING], 3);
  observer.update(nowMs);
  const waits = [0, 0.5, 1].map(spread => {
    const remote = new CrashEvidence(spread);
    remote.merge(observer.reports(nowMs), nowMs);
    const verdict = remote.verdict([CRASHING], nowMs);
    return verdict.kind === 'quarantined' ? Math.round(verdict.forMs) : 0;
  });
  const firstMs = 4 * QUARANTINE_MS - INTERVAL_MS + RUN_MS;
  const stepMs = 2 * QUARANTINE_MS;
  assert.deepEqual(waits, [firstMs, firstMs + stepMs, firstMs + 2 * stepMs]);
});

// Guards against an answer from before the crashes that is reported late and
// ends the quarantine.
test('an answer from before the crashes does not end a quarantine', () => {
  const [evidence, remote] = [new CrashEvidence(), new CrashEvidence()];
  const nowMs = crashInARow(evidence, [CRASHING], 3, 1_000);
  evidence.update(nowMs);
  crashInARow(remote, [CRASHING], 1, 0);
  remote.noteAnswered([CRASHING], 500);
  evidence.merge(remote.reports(500), nowMs - INTERVAL_MS * 4 + 500);
  assert.equal(evidence.verdict([CRASHING], nowMs).kind, 'quarantined');
});

// Guards against messages that carry all evidence for each crash, and against
// instances that pass on to all others what all others have been sent.
test('a change is reported once, by the instance that observed it', () => {
  const [evidence, other] = [new CrashEvidence(), new CrashEvidence()];
  crashInARow(evidence, [COMMON], 1);
  const {revision} = evidence;
  crashInARow(evidence, [CRASHING], 1, INTERVAL_MS);
  const changed = evidence.reports(2 * INTERVAL_MS, revision + 1);
  assert.deepEqual(
    changed.map(({suspect}) => suspect),
    [CRASHING],
  );
  other.merge(evidence.reports(2 * INTERVAL_MS), 2 * INTERVAL_MS);
  assert.equal(other.revision, 0);
  other.noteAnswered([COMMON], 2 * INTERVAL_MS);
  const cleared = other.reports(2 * INTERVAL_MS, 1);
  assert.deepEqual(
    cleared.map(({suspect, crashes}) => [suspect, crashes.length]),
    [[COMMON, 0]],
  );
});
