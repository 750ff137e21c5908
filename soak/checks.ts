/** Checks the promises of the gateway against the history of one run. */
import {APPLY_MS, broken, confirmed, SETTLE_MS} from './check_support.js';
import {checkEvacuations, checkReturns} from './evacuation_checks.js';
import {domainOf} from './layout.js';
import {
  eventsOf,
  HOMES,
  ROUTES,
  type CallResult,
  type History,
  type OperatorRecord,
} from './history.js';
import {checkQuotas} from './quota_check.js';
import {checkRetries} from './retry_check.js';
import {checkTexts} from './text_check.js';
import {TIMEOUT_MS} from './traffic.js';
import {checkWorkspaces} from './workspace_checks.js';
import {lifeOfKey} from './workspaces.js';

/** Longest time from the sending of a probe to its handling. */
const PROBE_MS = 1_000;
const NOT_FOUND = 404;
const TOO_LARGE = 413;
/** Share of the calm calls that must be served. */
const SERVED_SHARE = 0.97;
const EVENTS = 5;
/** Statuses that promise that a request has not run and never will. */
const NOT_RUN_STATUSES: readonly number[] = [408, 421, 429, 503];

/** Everything that a run broke, as sentences; empty if it kept all promises. */
export function checkHistory(history: History): readonly string[] {
  return [
    ...history.calls.flatMap(call => checkCall(call, history)),
    ...checkUnknownRuns(history),
    ...checkLost(history),
    ...checkApplied(history),
    ...checkReadings(history.operator),
    ...checkFinalReading(history.operator),
    ...checkEvacuations(history),
    ...checkReturns(history),
    ...checkRetries(history),
    ...checkService(history),
    ...checkWorkspaces(history),
    ...checkQuotas(history),
    ...checkTexts(history),
    ...history.unexpectedExits.map(name => `${name} ended by itself`),
    ...history.slowStops.map(name => `${name} stopped too slowly`),
  ];
}

function checkCall(call: CallResult, history: History): readonly string[] {
  const runs = history.runs.filter(run => run.attemptId === call.attemptId);
  const {attempts, kind} = ROUTES[call.route];
  const name = `${call.route} ${call.attemptId}`;
  const isPromise = NOT_RUN_STATUSES.includes(call.status);
  return [
    ...(kind === 'streaming' ? checkVersions(name, call) : []),
    ...(kind === 'streaming' ? checkEvents(name, call) : []),
    ...checkFailure(name, call, runs),
    ...broken(runs.length > attempts, `${name} ran ${runs.length} times`),
    ...broken(
      attempts === 1 && isPromise && runs.length > 0,
      `${name} was answered ${call.status} and has run`,
    ),
    ...broken(
      call.route === 'homed' &&
        runs.some(run => !HOMES.map(domainOf).includes(run.domain)),
      `${name} ran outside its home regions`,
    ),
    ...(call.status === 200 && call.isComplete
      ? kind === 'streaming'
        ? checkStream(name, call)
        : checkBody(name, call)
      : []),
    ...broken(
      call.status === 200 &&
        runs.every(run => `by ${run.upstreamId}` !== call.stamp),
      `${name} has the signature of an upstream that did not run it`,
    ),
  ];
}

/** An event names the request of its caller, or the one that it takes up. */
function checkEvents(
  name: string,
  {attemptId, takesUp, text}: CallResult,
): readonly string[] {
  const foreign = eventsOf(text).find(
    event => !['', attemptId, takesUp?.attemptId].includes(event.attemptId),
  );
  return broken(
    foreign !== undefined,
    `${name} got an event of ${foreign?.attemptId}`,
  );
}

/** A failure that an upstream signed is that of a run of this request. */
function checkFailure(
  name: string,
  {isComplete, text, stamp, attemptId}: CallResult,
  runs: History['runs'],
): readonly string[] {
  if (!isComplete || !text.startsWith('failed by ')) return [];
  const isOwn =
    text === `failed ${stamp} ${attemptId}` &&
    runs.some(run => `by ${run.upstreamId}` === stamp);
  return broken(!isOwn, `${name} got the failure "${text}"`);
}

function checkBody(name: string, call: CallResult): readonly string[] {
  const expected = `done ${call.stamp} ${call.attemptId}`;
  return broken(call.text !== expected, `${name} got "${call.text}"`);
}

function checkStream(name: string, call: CallResult): readonly string[] {
  const {text, takesUp} = call;
  const firstId = takesUp === undefined ? 0 : takesUp.lastEventId + 1;
  const events = eventsOf(text);
  const isWhole =
    events.length === EVENTS - firstId &&
    events.every(({id}, index) => id === firstId + index);
  return broken(!isWhole, `${name} got "${text}" as a whole stream`);
}

/** A stream has one software version, over all attempts of its caller. */
function checkVersions(
  name: string,
  {text, takesUp}: CallResult,
): readonly string[] {
  const versions = new Set([
    ...(takesUp?.versions ?? []),
    ...eventsOf(text).map(each => each.version),
  ]);
  const seen = [...versions].join(' and ');
  return broken(versions.size > 1, `${name} has events of ${seen}`);
}

function checkUnknownRuns({calls, runs}: History): readonly string[] {
  const sent = new Set(calls.map(call => call.attemptId));
  return runs
    .filter(run => !sent.has(run.attemptId))
    .map(run => `an upstream ran ${run.attemptId}, which nobody sent`);
}

/**
 * After the faults each entry obeys a version in time, and drops the routes of
 * the ones before it.
 */
function checkApplied({
  probes,
  operator,
  calmAtMs,
}: History): readonly string[] {
  const replaced = confirmed(operator, 'replace');
  return probes
    .filter(probe => probe.sentAtMs > calmAtMs + SETTLE_MS)
    .flatMap(({entry, version, sentAtMs, status}) => {
      const newestMs = (isNewest: (other: number) => boolean): number =>
        Math.min(
          ...replaced
            .filter(each => isNewest(each.version))
            .map(each => each.endedAtMs),
        );
      const isDue = newestMs(other => other === version) + APPLY_MS < sentAtMs;
      const isOver = newestMs(other => other > version) + APPLY_MS < sentAtMs;
      const isReplaced = operator.some(
        each =>
          each.kind === 'replace' &&
          each.version > version &&
          each.sentAtMs < sentAtMs + PROBE_MS,
      );
      return [
        ...broken(
          isDue && !isReplaced && status === NOT_FOUND,
          `${entry} did not serve a route of version ${version}`,
        ),
        ...broken(
          isOver && status === TOO_LARGE,
          `${entry} served a route that was dropped after version ${version}`,
        ),
      ];
    });
}

/** Under planned work alone, what reached an upstream is answered whole. */
function checkLost({calls, runs, losesNothing}: History): readonly string[] {
  if (!losesNothing) return [];
  const ran = new Set(runs.map(run => run.attemptId));
  return (
    calls
      .filter(call => ran.has(call.attemptId) && !call.isComplete)
      // The time limit of the route ends a request at any time.
      .filter(call => call.endedAtMs - call.sentAtMs < TIMEOUT_MS)
      .map(
        ({route, attemptId, status}) =>
          `${route} ${attemptId} was cut, its status was ${status}`,
      )
  );
}

/** A reading is never older than a change confirmed well before it. */
function checkReadings(records: readonly OperatorRecord[]): readonly string[] {
  const replaced = confirmed(records, 'replace');
  return confirmed(records, 'read').flatMap(read => {
    const newest = replaced
      .filter(each => each.endedAtMs + APPLY_MS < read.sentAtMs)
      .reduce((version, each) => Math.max(version, each.version), 0);
    const sent = records.find(
      each => each.kind === 'replace' && each.version === read.version,
    );
    return [
      ...broken(
        read.version < newest,
        `version ${read.version} was read after ${newest} was confirmed`,
      ),
      ...broken(
        sent?.text !== read.text,
        `version ${read.version} was read with other content than was sent`,
      ),
    ];
  });
}

function checkFinalReading(
  records: readonly OperatorRecord[],
): readonly string[] {
  const last = confirmed(records, 'read').at(-1);
  const newest = confirmed(records, 'replace').reduce(
    (version, each) => Math.max(version, each.version),
    0,
  );
  if (last === undefined) return ['the configuration could not be read'];
  return broken(
    last.version < newest,
    `at the end version ${last.version} was read, ${newest} was confirmed`,
  );
}

/** After the faults everything is served again. */
function checkService({calls, calmAtMs}: History): readonly string[] {
  const calm = calls.filter(
    call => call.sentAtMs > calmAtMs + SETTLE_MS && mustBeServed(call),
  );
  const served = calm.filter(call => call.status === 200 && call.isComplete);
  if (calm.length === 0) return ['no call was made after the faults'];
  return broken(
    served.length < calm.length * SERVED_SHARE,
    `only ${served.length} of ${calm.length} calls were served after the faults`,
  );
}

/** Whether neither the key nor a quota is a reason to refuse a call. */
function mustBeServed({key}: CallResult): boolean {
  if (key === undefined) return true;
  const life = lifeOfKey(key);
  return (
    life !== undefined &&
    life.lastVersion === Number.POSITIVE_INFINITY &&
    life.workspace.ratePerS === undefined
  );
}
