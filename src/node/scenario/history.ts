/** What a scenario records, in order, and the checks that always hold. */
import {
  checkCallHistory,
  type CallEvent,
} from '../__tests__/support/history.js';

/** One recorded event; times are milliseconds since the start. */
export type HistoryEvent =
  | {
      readonly kind: 'invoked';
      readonly atMs: number;
      readonly callId: string;
      readonly loadId: string;
      readonly key?: string;
    }
  | {
      readonly kind: 'answered';
      readonly atMs: number;
      readonly callId: string;
      readonly loadId: string;
      readonly work: 'ran' | 'not_run' | 'unknown';
      /** `ok`, or the code of the error. */
      readonly outcome: string;
      readonly isRecorded: boolean;
      readonly result?: string;
    }
  | {
      readonly kind: 'executed';
      readonly atMs: number;
      readonly callId: string;
      readonly upstreamId: string;
      readonly regionId: string;
      readonly workspaceRegions: readonly string[];
      readonly prompt?: string;
      /** Set for calls of plain services. */
      readonly key?: string;
      readonly result: string;
    }
  | {
      readonly kind: 'version';
      readonly atMs: number;
      readonly process: string;
      readonly version: number;
    }
  | {
      readonly kind: 'changed';
      readonly atMs: number;
      readonly operation: string;
      readonly status: 'accepted' | 'conflict' | 'refused' | 'failed';
      readonly base: number;
      readonly version?: number;
    }
  | {
      readonly kind: 'forwarded';
      readonly atMs: number;
      readonly requestId: string;
      readonly from: string;
      readonly to: string;
    }
  | {
      readonly kind: 'upstream';
      readonly atMs: number;
      readonly upstreamId: string;
      readonly state: string;
    }
  | {
      readonly kind: 'order';
      readonly atMs: number;
      readonly upstreamId: string;
      readonly token: number;
      readonly holder: string;
      readonly isAccepted: boolean;
      /** Whether the upstream compares tokens itself. */
      readonly checksFencing: boolean;
    }
  | {readonly kind: 'event'; readonly atMs: number; readonly text: string};

type Of<Kind extends HistoryEvent['kind']> = Extract<
  HistoryEvent,
  {kind: Kind}
>;

/** New work may reach a leaving upstream for this long after its notice. */
export const LEAVING_BOUND_MS = 3_000;

/** The events of one kind. */
export function ofKind<Kind extends HistoryEvent['kind']>(
  events: readonly HistoryEvent[],
  kind: Kind,
): readonly Of<Kind>[] {
  return events.filter((event): event is Of<Kind> => event.kind === kind);
}

/** Everything that broke a promise, in words; empty if all held. */
export function checkHistory(events: readonly HistoryEvent[]): string[] {
  return [
    ...checkCallHistory(recordedCalls(events)),
    ...checkRefusals(events),
    ...checkModelAnswers(events),
    ...checkAnswered(events),
    ...checkVersions(events),
    ...checkWinners(events),
    ...checkResidency(events),
    ...checkHops(events),
    ...checkLeaving(events),
    ...checkOrders(events),
  ];
}

function recordedCalls(events: readonly HistoryEvent[]): CallEvent[] {
  return events.flatMap((event): CallEvent[] => {
    if (event.kind === 'invoked' && event.key !== undefined) {
      return [{kind: 'invoked', callId: event.callId, key: event.key}];
    }
    if (event.kind === 'executed' && event.key !== undefined) {
      const {callId, key, result} = event;
      return [{kind: 'executed', callId, key, result}];
    }
    if (event.kind === 'answered' && event.isRecorded) {
      const {callId, work, result} = event;
      return [
        {
          kind: 'answered',
          callId,
          work,
          ...(result === undefined ? {} : {result}),
        },
      ];
    }
    return [];
  });
}

/** An answer without a record must be whole and come from its own execution. */
export function checkModelAnswers(events: readonly HistoryEvent[]): string[] {
  const executions = ofKind(events, 'executed').filter(
    event => event.key === undefined,
  );
  return ofKind(events, 'answered')
    .filter(event => !event.isRecorded && event.outcome === 'ok')
    .filter(
      answer =>
        !executions.some(
          execution =>
            execution.callId === answer.callId &&
            execution.result === answer.result,
        ),
    )
    .map(answer => `call ${answer.callId} received an answer that is not its`);
}

/** Every call gets one answer, be it an error or a lost connection. */
export function checkAnswered(events: readonly HistoryEvent[]): string[] {
  const answers = ofKind(events, 'answered').map(event => event.callId);
  const answered = new Set(answers);
  const unanswered = ofKind(events, 'invoked')
    .filter(({callId}) => !answered.has(callId))
    .map(({callId, loadId}) => `call ${callId} of ${loadId} got no answer`);
  const isRecorded = new Set(
    ofKind(events, 'answered')
      .filter(event => event.isRecorded)
      .map(event => event.callId),
  );
  // Second answers of recorded calls are found with the other promises to them.
  const repeated = answers
    .filter((callId, index) => answers.indexOf(callId) !== index)
    .filter(callId => !isRecorded.has(callId))
    .map(callId => `call ${callId} was answered twice`);
  return [...unanswered, ...repeated];
}

/** A version never falls on an instance, over restarts as well. */
export function checkVersions(events: readonly HistoryEvent[]): string[] {
  const greatest = new Map<string, number>();
  return ofKind(events, 'version').flatMap(({process, version, atMs}) => {
    const before = greatest.get(process) ?? 0;
    greatest.set(process, Math.max(before, version));
    return version < before
      ? [`${process} went from version ${before} to ${version} at ${atMs} ms`]
      : [];
  });
}

/** One operation wins a base version, and a resend gets the first result. */
export function checkWinners(events: readonly HistoryEvent[]): string[] {
  const accepted = ofKind(events, 'changed').filter(
    event => event.status === 'accepted',
  );
  return [...new Set(accepted.map(event => event.base))].flatMap(base => {
    const winners = new Set(
      accepted
        .filter(event => event.base === base)
        .map(event => `${event.operation} as version ${event.version}`),
    );
    return winners.size > 1
      ? [`base version ${base} was won by ${[...winners].join(' and ')}`]
      : [];
  });
}

/** Work runs only in the regions that its workspace allows. */
export function checkResidency(events: readonly HistoryEvent[]): string[] {
  return ofKind(events, 'executed')
    .filter(event => !event.workspaceRegions.includes(event.regionId))
    .map(event => `call ${event.callId} ran in region ${event.regionId}`);
}

/** A request is forwarded to one place at a time and never from there on. */
export function checkHops(events: readonly HistoryEvent[]): string[] {
  const hops = ofKind(events, 'forwarded');
  return hops
    .filter(hop =>
      hops.some(
        later =>
          later.requestId === hop.requestId &&
          later.from === hop.to &&
          later.atMs >= hop.atMs,
      ),
    )
    .map(hop => `request ${hop.requestId} was forwarded on by ${hop.to}`);
}

/** A leaving upstream gets no new work after the bound. */
export function checkLeaving(events: readonly HistoryEvent[]): string[] {
  const states = ofKind(events, 'upstream');
  return ofKind(events, 'executed').flatMap(execution => {
    const last = states
      .filter(state => state.upstreamId === execution.upstreamId)
      .filter(state => state.atMs <= execution.atMs)
      .at(-1);
    const isLate =
      last?.state === 'leaving' &&
      execution.atMs > last.atMs + LEAVING_BOUND_MS;
    return isLate
      ? [
          `${execution.upstreamId} got call ${execution.callId} ${execution.atMs - last.atMs} ms after it began to leave`,
        ]
      : [];
  });
}

/** No upstream accepts an order from a holder that another has followed. */
export function checkOrders(events: readonly HistoryEvent[]): string[] {
  const greatest = new Map<string, number>();
  return ofKind(events, 'order')
    .filter(order => order.isAccepted)
    .flatMap(({upstreamId, token, holder}) => {
      const before = greatest.get(upstreamId) ?? 0;
      greatest.set(upstreamId, Math.max(before, token));
      return token < before
        ? [`${upstreamId} accepted token ${token} of ${holder} after ${before}`]
        : [];
    });
}

/** What a refusal says whatever ran under the key before. */
const CERTAIN_REFUSALS = ['conflict', 'bad_request'];

/** No call is refused as "not run" after its key was executed. */
export function checkRefusals(events: readonly HistoryEvent[]): string[] {
  const keys = new Map(
    ofKind(events, 'invoked').map(event => [event.callId, event.key]),
  );
  return events.flatMap((event, index) => {
    if (event.kind !== 'answered' || event.work !== 'not_run') return [];
    if (CERTAIN_REFUSALS.includes(event.outcome)) return [];
    const key = keys.get(event.callId);
    const ran = ofKind(events.slice(0, index), 'executed').some(
      execution => key !== undefined && execution.key === key,
    );
    return ran
      ? [`call ${event.callId} was refused as not run although ${key} had run`]
      : [];
  });
}
