/** Histories of runs that never took place, for specs of the checks. */
import {checkHistory} from '../../checks.js';
import type {
  CallResult,
  History,
  OperatorRecord,
  UpstreamArrival,
  UpstreamRun,
} from '../../history.js';
import {configurationOf} from '../../operator.js';

const CALM_AT_MS = 1_000;

/** A call that was served at once, in the calm part of the run. */
export function call(fields: Partial<CallResult> = {}): CallResult {
  return {
    attemptId: 'a1',
    route: 'order',
    region: 'north',
    entry: 'entry-of-north',
    sentAtMs: 20_000,
    endedAtMs: 20_010,
    status: 200,
    isComplete: true,
    stamp: 'by u0-0',
    text: 'done by u0-0 a1',
    ...fields,
  };
}

/** The run of that call. */
export function run(fields: Partial<UpstreamRun> = {}): UpstreamRun {
  return {
    upstreamId: 'u0-0',
    domain: 'north-a',
    attemptId: 'a1',
    startedAtMs: 20_005,
    headers: {},
    ...fields,
  };
}

/** An arrival of that call. */
export function arrival(afterMs: number): UpstreamArrival {
  return {attemptId: 'a1', arrivedAtMs: 20_005 + afterMs};
}

/** An order that was confirmed at once, before all calls. */
export function order(
  kind: OperatorRecord['kind'],
  version: number,
  fields: Partial<OperatorRecord> = {},
): OperatorRecord {
  return {
    kind,
    sentAtMs: 100,
    endedAtMs: 110,
    status: 200,
    version,
    text: configurationOf(version),
    ...fields,
  };
}

/** What the checks find in a history that keeps all promises but for `fields`. */
export function problemsOf(fields: Partial<History>): readonly string[] {
  return checkHistory({
    calls: [call()],
    runs: [run()],
    arrivals: [],
    operator: [order('replace', 4), order('read', 4, {sentAtMs: 9_000})],
    unexpectedExits: [],
    slowStops: [],
    losesNothing: false,
    entriesKeepTouch: false,
    probes: [],
    unimpairedEntries: [],
    texts: [],
    calmAtMs: CALM_AT_MS,
    ...fields,
  });
}
