/** Checks that requests run only for callers with a key, in the right name and place. */
import {HEADER} from '../platform/headers.js';
import {APPLY_MS, broken, confirmed, SETTLE_MS} from './check_support.js';
import type {CallResult, History, UpstreamRun} from './history.js';
import {homeDomainsOf, lifeOfKey, type SoakWorkspace} from './workspaces.js';

const UNAUTHORIZED = 401;
const OVER_QUOTA = 429;
/** No answer, and that of an entry that knows no version yet. */
const NO_ANSWERS: readonly number[] = [0, 503];

/** What callers' keys lead to. */
export function checkWorkspaces(history: History): readonly string[] {
  const runs = runsByAttempt(history.runs);
  return history.calls.flatMap(call =>
    call.key === undefined
      ? checkKeyless(call)
      : checkKeyed(call, runs.get(call.attemptId) ?? [], history),
  );
}

function runsByAttempt(
  runs: readonly UpstreamRun[],
): ReadonlyMap<string, readonly UpstreamRun[]> {
  const grouped = new Map<string, UpstreamRun[]>();
  runs.forEach(run => {
    const own = grouped.get(run.attemptId) ?? [];
    grouped.set(run.attemptId, [...own, run]);
  });
  return grouped;
}

/** Callers show no key only where there are no workspaces. */
function checkKeyless({
  route,
  attemptId,
  status,
}: CallResult): readonly string[] {
  return broken(
    status === UNAUTHORIZED,
    `${route} ${attemptId} got 401 although there are no workspaces`,
  );
}

function checkKeyed(
  call: CallResult,
  runs: readonly UpstreamRun[],
  history: History,
): readonly string[] {
  const {key, route, attemptId, status} = call;
  const name = `${route} ${attemptId}`;
  const life = lifeOfKey(key);
  return [
    ...broken(
      status === UNAUTHORIZED && runs.length > 0,
      `${name} was answered 401 and has run`,
    ),
    ...(life === undefined
      ? checkUnknown(name, call, runs, history)
      : [
          ...broken(
            status === OVER_QUOTA && life.workspace.ratePerS === undefined,
            `${name} of ${life.workspace.name}, which has no quota, got 429`,
          ),
          ...checkRuns(name, life.workspace, runs),
          ...checkKnown(name, call, history),
          ...checkTakenAway(name, call, runs, history),
        ]),
  ];
}

/** A key that nobody ever held opens nothing, and its caller learns so. */
function checkUnknown(
  name: string,
  call: CallResult,
  runs: readonly UpstreamRun[],
  history: History,
): readonly string[] {
  const {status} = call;
  const isRefused = isRefusedForKey(call, history);
  return [
    ...broken(!isRefused, `${name} with an unknown key was answered ${status}`),
    ...broken(runs.length > 0, `${name} with an unknown key has run`),
  ];
}

/** While there are faults, an entry may know no version yet, or not answer. */
function isRefusedForKey(
  {status, sentAtMs}: CallResult,
  {calmAtMs}: History,
): boolean {
  const isCalm = sentAtMs > calmAtMs + SETTLE_MS;
  return status === UNAUTHORIZED || (!isCalm && NO_ANSWERS.includes(status));
}

/** Upstreams are told the caller's workspace and its priority, in its homes. */
function checkRuns(
  name: string,
  workspace: SoakWorkspace,
  runs: readonly UpstreamRun[],
): readonly string[] {
  const homes = homeDomainsOf(workspace);
  const priority = String(workspace.priority ?? 0);
  return runs.flatMap(({headers, domain}) => [
    ...broken(
      headers[HEADER.workspace] !== workspace.name,
      `${name} of ${workspace.name} ran as one of ${String(headers[HEADER.workspace])}`,
    ),
    ...broken(
      headers[HEADER.priority] !== priority,
      `${name} of ${workspace.name} ran with priority ${String(headers[HEADER.priority])}`,
    ),
    ...broken(
      homes.length > 0 && !homes.includes(domain),
      `${name} ran in ${domain}, outside the homes of ${workspace.name}`,
    ),
  ]);
}

/**
 * 401 only if the entry may have a version without the key: one from after the key
 * was taken away, or one from before it was added.
 */
function checkKnown(
  name: string,
  call: CallResult,
  history: History,
): readonly string[] {
  const life = lifeOfKey(call.key);
  if (call.status !== UNAUTHORIZED || life === undefined) return [];
  const {firstVersion, lastVersion} = life;
  const isAdded =
    firstVersion === Number.NEGATIVE_INFINITY ||
    isApplied(call, history, version => version >= firstVersion);
  const mayBeGone = history.operator.some(
    each =>
      each.kind === 'replace' &&
      each.version > lastVersion &&
      each.sentAtMs < call.endedAtMs,
  );
  return broken(isAdded && !mayBeGone, `${name} with a known key got 401`);
}

/** A key that was taken away opens nothing any more, and its caller learns so. */
function checkTakenAway(
  name: string,
  call: CallResult,
  runs: readonly UpstreamRun[],
  history: History,
): readonly string[] {
  const lastVersion = lifeOfKey(call.key)?.lastVersion ?? 0;
  if (!isApplied(call, history, version => version > lastVersion)) return [];
  return broken(
    !isRefusedForKey(call, history) || runs.length > 0,
    `${name} with a key that was taken away was answered ${call.status}, ` +
      `it ran ${runs.length} times`,
  );
}

/**
 * Whether the entry of a call certainly had a version: it was confirmed a while
 * before, and no fault kept it from the entry.
 */
function isApplied(
  {sentAtMs, entry}: CallResult,
  {operator, calmAtMs, unimpairedEntries}: History,
  isVersion: (version: number) => boolean,
): boolean {
  const isInTouch =
    unimpairedEntries.includes(entry) || sentAtMs > calmAtMs + SETTLE_MS;
  return (
    isInTouch &&
    confirmed(operator, 'replace').some(
      ({version, endedAtMs}) =>
        isVersion(version) && endedAtMs + APPLY_MS < sentAtMs,
    )
  );
}
