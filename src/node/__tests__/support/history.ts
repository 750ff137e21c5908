/**
 * Histories of non-idempotent calls and their checker. A test writes down what
 * callers sent and received and what upstreams executed.
 */

/** One event, in the order in which it happened. */
export type CallEvent =
  | {
      readonly kind: 'invoked';
      readonly callId: string;
      /** Missing if the caller sent none. */
      readonly key?: string | undefined;
    }
  | {
      readonly kind: 'executed';
      readonly callId: string;
      readonly key: string;
      readonly result: string;
    }
  | {
      readonly kind: 'answered';
      readonly callId: string;
      readonly work: 'ran' | 'not_run' | 'unknown';
      /** The result that the caller received, if it did. */
      readonly result?: string;
    };

type Executed = Extract<CallEvent, {kind: 'executed'}>;
type Answered = Extract<CallEvent, {kind: 'answered'}>;

/**
 * Returns what is wrong with a history: a key executed twice, a call answered
 * `not_run` that was executed at any time, or an answer that is not the result
 * of the execution of its key (of its own, for a call without key). An empty list means that nothing is wrong.
 */
export function checkCallHistory(events: readonly CallEvent[]): string[] {
  const executions = events.filter(
    (event): event is Executed => event.kind === 'executed',
  );
  const answers = events.filter(
    (event): event is Answered => event.kind === 'answered',
  );
  const keys = new Map(
    events
      .filter(event => event.kind === 'invoked')
      .map(event => [event.callId, event.key]),
  );
  const executionsOf = (key: string): Executed[] =>
    executions.filter(execution => execution.key === key);
  const executionsFor = (callId: string): Executed[] => {
    const key = keys.get(callId);
    return key === undefined
      ? executions.filter(execution => execution.callId === callId)
      : executionsOf(key);
  };
  const doubled = [...new Set(executions.map(({key}) => key))]
    .filter(key => executionsOf(key).length > 1)
    .map(key => `key ${key} was executed ${executionsOf(key).length} times`);
  const untrueRefusals = answers
    .filter(({work}) => work === 'not_run')
    .filter(({callId}) => executions.some(item => item.callId === callId))
    .map(({callId}) => `call ${callId} was refused as not_run and executed`);
  const foreign = answers
    .filter(({result}) => result !== undefined)
    .filter(
      ({callId, result}) =>
        !executionsFor(callId).some(item => item.result === result),
    )
    .map(({callId, result}) => `call ${callId} received foreign ${result}`);
  const repeated = answers
    .map(({callId}) => callId)
    .filter((callId, index, all) => all.indexOf(callId) !== index)
    .map(callId => `call ${callId} was answered twice`);
  return [...doubled, ...untrueRefusals, ...foreign, ...repeated];
}
